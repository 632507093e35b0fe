// Package scheduler decides which task runs on which machine, which running tasks give way to
// others, and which machines to rent. The order of jobs follows GREEN (Xu et al., "GREEN:
// Carbon-efficient Resource Scheduling for Machine Learning Clusters"); docs/design.md lists what
// is kept of the paper and each exception to it. The package does no input or output and reads no
// clock: a Snapshot goes in, decisions come out, and the same snapshot always gives the same
// decisions.
//
// There are three kinds of pass over a snapshot:
//
//   - A fill (Snapshot.Fill) starts waiting tasks on the free room of machines and stops nothing.
//     It places services first, then one task of each starved batch and whole starved gangs, then
//     sets room aside for expected replicas, and then makes several passes over batches and gangs:
//     within guarantees, within slots, interrupted tasks, spare room.
//   - A round (Snapshot.Preempt) comes after a fill at fixed intervals. For tasks that found no room
//     it works out which lower-ranked tasks to preempt, and reserves the room that they leave.
//     The stops for a task, or for a whole gang, are all or nothing.
//   - A plan (Snapshot.Plan) places what still waits on free and booting machines, and scales out:
//     where these don't do it names the machines to rent. Machines that it leaves unused may be
//     returned by the caller.
//
// Consolidation (Snapshot.WithoutMachine) works out whether an expensive machine can be emptied.
//
// A machine for a task is chosen by bin packing: each machine that accepts the task has a score,
// and the lowest wins. machineIndex finds that machine without scoring the others, which keeps
// fills affordable for fleets of thousands of machines (docs/scale.md).
package scheduler
