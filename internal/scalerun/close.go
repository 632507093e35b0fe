package scalerun

import "io"

// closeQuietly closes something whose content has been read or is given up, so that an error of
// Close has no consequence: files that this process only reads or hands on, answers that were read to
// their end, and connections and listeners that are not used again.
func closeQuietly(c io.Closer) { _ = c.Close() }
