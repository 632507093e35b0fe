package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// --- workers

type simTask struct {
	halted time.Duration // when a gang's task was told to stop
	alone  time.Duration // since when it misses another one
	stored bool          // its progress was saved
	uid    string
	cause  protocol.ExitCause
	state  protocol.TaskState
	try    uint64
	began  int // which life of the task this is
}

type simWorker struct {
	w                   *world
	id, typ, zone       string
	spot, up, gone, cut bool
	rented              time.Duration
	session, seq, token uint64
	tasks               map[string]*simTask
	images              map[string]time.Duration
	answered            time.Duration // sending time of the last answered report
	node                int
	lives               int
	copies              [][]byte
	// answersLost: reports arrive, answers and direct commands don't. reportsLost: the other way
	// round. hung: it does nothing until it goes on, or for ever. held are the
	// commands that came meanwhile.
	answersLost, reportsLost, hung bool
	held                           []func()
	// taken is when the cloud takes the machine back, of which it has notice; 0: it does not.
	taken time.Duration
}

// fleet lists the workers in a fixed order, so runs repeat.
func (w *world) fleet() []*simWorker {
	var out []*simWorker
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		out = append(out, w.workers[id])
	}
	return out
}

func (w *world) byAddr(addr string) *simWorker {
	for _, wk := range w.workers {
		if wk.addr() == addr {
			return wk
		}
	}
	return nil
}

func (k *simWorker) addr() string    { return "10.1." + strings.TrimLeft(k.id[2:], "0") + ":9000" }
func (k *simWorker) reachable() bool { return k.up && !k.gone && !k.cut && !k.answersLost }

// hang stops a machine for a while. What comes meanwhile is executed when it goes
// on, if its lease still runs then.
func (k *simWorker) hang(d time.Duration) {
	k.hung = true
	k.w.at(d, func() {
		k.hung = false
		held := k.held
		k.held = nil
		if k.gone {
			return
		}
		for _, do := range held {
			do()
		}
	})
}

func (k *simWorker) boot() {
	if k.gone {
		return
	}
	k.up, k.answered = true, k.w.now
	k.report()
	k.lapse()
}

func (k *simWorker) die() {
	k.gone, k.up = true, false
	k.tasks = map[string]*simTask{}
}

// lapse ends the session when the lease has run out.
func (k *simWorker) lapse() {
	if k.gone {
		return
	}
	if k.w.now > k.answered+10*time.Second {
		k.session++
		k.tasks = map[string]*simTask{}
		k.answered = k.w.now
	}
	k.w.at(tick, k.lapse)
}

func (k *simWorker) message() protocol.Report {
	k.seq++
	m := protocol.Report{Machine: k.id, Addr: k.addr(), Type: k.typ, Zone: k.zone, Spot: k.spot, Session: k.session, Seq: k.seq, Token: k.token,
		Tasks: []protocol.TaskReport{}}
	if k.taken > 0 {
		notice := max(0, (k.taken - k.w.now).Seconds())
		m.NoticeS = &notice
	}
	for _, name := range slices.Sorted(maps.Keys(k.tasks)) {
		t := k.tasks[name]
		task, _, _ := strings.Cut(name, "@")
		m.Tasks = append(m.Tasks, protocol.TaskReport{Task: task, Attempt: t.try, State: t.state, Cause: t.cause, Saved: t.stored})
	}
	return m
}

func (k *simWorker) report() {
	if k.gone {
		return
	}
	w := k.w
	next := func(d time.Duration) { w.at(d, k.report) }
	if k.cut || k.hung {
		next(time.Second)
		return
	}
	var f fate
	if w.reports != nil {
		f = w.reports(k, k.node)
	}
	f.lost = f.lost || k.reportsLost
	f.answerLost = f.answerLost || k.answersLost
	body := protocol.Encode(k.message())
	k.copies = append(k.copies, body)
	if w.lateCopy != nil {
		if late := w.lateCopy(); late > 0 {
			// A copy goes to whichever controller; its answer reaches nobody.
			to := w.rng.IntN(3)
			w.at(late, func() { w.ask(to, Request{Op: OpReport, Body: body}, func(Reply) {}) })
		}
	}
	sent, session := w.now, k.session
	if f.lost {
		k.node = (k.node + 1) % 3
		next(w.reportWait)
		return
	}
	w.at(latency, func() {
		w.ask(k.node, Request{Op: OpReport, Body: body}, func(r Reply) {
			if f.answerLost || k.gone || k.hung || k.answersLost {
				next(w.reportWait)
				return
			}
			switch {
			case r.Status == 200:
				var reply protocol.ReportReply
				if err := protocol.Decode(r.Body, &reply); err != nil {
					w.breaks("report's answer: %v", err)
				}
				if reply.Token >= k.token && session == k.session {
					k.token, k.answered = reply.Token, sent
					k.execute(reply.Commands)
				}
				next(time.Second)
			case r.Status == 421:
				var e protocol.Elsewhere
				_ = protocol.Decode(r.Body, &e) // a missing name is allowed
				if n, err := strconv.Atoi(strings.TrimPrefix(e.Leader, "n")); err == nil && n != k.node {
					k.node = n
					next(100 * time.Millisecond)
					return
				}
				k.node = (k.node + 1) % 3
				next(time.Second)
			default:
				k.node = (k.node + 1) % 3
				next(time.Second)
			}
		})
	})
}

func (k *simWorker) serve(c Call) (int, []byte) {
	var req protocol.Commands
	if err := protocol.Decode(c.Body, &req); err != nil {
		k.w.breaks("commands: %v", err)
	}
	if req.Token < k.token || req.Session != k.session {
		return 409, protocol.Encode(k.message())
	}
	k.token = req.Token
	k.execute(req.Commands)
	return 200, protocol.Encode(k.message())
}

func (k *simWorker) execute(cmds []protocol.Command) {
	w := k.w
	for _, c := range cmds {
		name := fmt.Sprintf("%s@%d", c.Task, c.Attempt)
		t := k.tasks[name]
		switch c.Verb {
		case protocol.VerbRun:
			if t == nil {
				uid, _, _ := strings.Cut(c.Task, "/")
				k.lives++
				t = &simTask{uid: uid, try: c.Attempt, state: protocol.Pulling, began: k.lives}
				k.tasks[name] = t
				wait := 200 * time.Millisecond
				if w.pulls != nil {
					wait = w.pulls(c.Task)
				}
				life := t.began
				w.at(wait, func() {
					if k.tasks[name] != t || t.state != protocol.Pulling || t.began != life || k.gone {
						return
					}
					k.start(c.Task, t)
					if w.specs[t.uid]["shape"] == "group" {
						t.state = protocol.Gathering
						w.gather(t.uid, t.try)
						w.at(30*time.Second, func() {
							if t.state == protocol.Gathering {
								t.state, t.cause = protocol.Exited, protocol.CauseIncomplete
							}
						})
					}
				})
			}
		case protocol.VerbHalt:
			if t == nil || t.state == protocol.Exited {
				continue
			}
			if w.specs[t.uid]["shape"] == "group" {
				k.haltGangTask(t, c)
				continue
			}
			if takes := w.specs[t.uid]["saveTakesS"].(float64); t.state == protocol.Running && takes > 0 && c.GraceS >= takes {
				t.state = protocol.Saving
				w.at(time.Duration(takes*float64(time.Second)), func() {
					if t.state == protocol.Saving {
						t.state, t.cause = protocol.Exited, protocol.CauseHalted
					}
				})
				continue
			}
			t.state, t.cause = protocol.Exited, protocol.CauseHalted
		case protocol.VerbClear:
			if t != nil && t.state == protocol.Exited {
				delete(k.tasks, name)
			}
		}
	}
}

// haltGangTask stops a gang's task: at once, unless it runs and has time to save. Until
// it ends it is called running, as the protocol's page has it.
func (k *simWorker) haltGangTask(t *simTask, c protocol.Command) {
	takes := k.w.specs[t.uid]["saveTakesS"].(float64)
	if t.halted == 0 {
		k.w.halts[t.uid] = append(k.w.halts[t.uid], halted{k.w.now, c.GraceS})
	}
	if t.state != protocol.Running || takes == 0 || c.GraceS < takes {
		t.state, t.cause = protocol.Exited, protocol.CauseHalted
		return
	}
	if t.halted == 0 {
		t.halted = k.w.now
	}
}

// start checks the rules of the moment a task begins to be on its machine.
func (k *simWorker) start(task string, t *simTask) {
	w := k.w
	spec := w.specs[t.uid]
	if w.fails != nil && w.fails(k, t.uid) {
		w.failures++
		t.state, t.cause = protocol.Exited, protocol.CauseError
		return
	}
	t.state = protocol.Running
	w.starts[task]++
	// Stricter than the protocol's page, which allows cancel_s: "from then on no
	// task of the job may be started".
	if _, told := w.stopped[t.uid]; told {
		w.breaks("ran_cancelled: %s starts", task)
	}
	zones, total, used := map[string]int{}, 0, map[string]float64{}
	for _, o := range w.workers {
		for name, x := range o.tasks {
			if !x.here() || o.gone {
				continue
			}
			other, _, _ := strings.Cut(name, "@")
			if other == task && (o != k || x != t) {
				w.breaks("ran_twice: %s on %s and %s", task, o.id, k.id)
			}
			if x.uid == t.uid {
				zones[o.zone]++
				total++
			}
			used[w.specs[x.uid]["owner"].(string)] += w.specs[x.uid]["cores"].(float64)
		}
	}
	if n := spec["shards"].(int); spec["apart"].(bool) && zones[k.zone] > (n+1)/2 {
		w.breaks("wrong_place: %d of %d tasks of %s in one zone", zones[k.zone], n, t.uid)
	}
	if spec["together"].(bool) && total != zones[k.zone] {
		w.breaks("wrong_place: %s in two zones", t.uid)
	}
	for team, most := range map[string]float64{"red": 32, "blue": 16} {
		if used[team] > most {
			w.breaks("quota: %s uses %v", team, used[team])
		}
	}
	if spec["shape"] != "batch" {
		return
	}
	life := t.began
	var end func()
	end = func() {
		if k.hung {
			w.at(tick, end) // it does not execute its tasks meanwhile
			return
		}
		if !k.gone && t.state == protocol.Running && t.began == life && k.tasks[fmt.Sprintf("%s@%d", task, t.try)] == t {
			t.state, t.cause = protocol.Exited, protocol.CauseDone
			if w.cloud.finished == nil {
				w.cloud.finished = map[string]bool{}
			}
			w.cloud.finished[task] = true
			if w.ended != nil {
				w.ended(t.uid)
			}
		}
	}
	w.at(w.runs(task), end)
}

// here says whether a task is on its machine, as the protocol's page counts it.
func (t *simTask) here() bool {
	return t.state == protocol.Running || t.state == protocol.Saving || t.state == protocol.Gathering
}

// running counts a job's tasks on machines.
func (w *world) running(uid string) int {
	n := 0
	for _, k := range w.fleet() {
		for _, t := range k.tasks {
			if t.uid == uid && t.here() && !k.gone {
				n++
			}
		}
	}
	return n
}

// lateCancelled checks ran_cancelled for tasks that stay.
func (w *world) lateCancelled() {
	for uid, told := range w.stopped {
		if w.now > told+35*time.Second && w.running(uid) > 0 {
			w.breaks("ran_cancelled: %s is still there", uid)
		}
	}
}
