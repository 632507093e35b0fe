package scalerun

import "io"

// closeQuietly closes c and ignores the error. It is for values whose close error has no effect: files that this
// process only reads or passes to a child process, response bodies after the last read, and connections and
// listeners that are not used again.
func closeQuietly(c io.Closer) { _ = c.Close() }
