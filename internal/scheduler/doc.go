// Package scheduler decides on which machine each task runs, which running tasks are preempted, and which machines to
// rent. The order of jobs follows GREEN (Xu et al., "GREEN: Carbon-efficient Resource Scheduling for Machine Learning
// Clusters"); docs/design.md lists which parts of the paper the package implements and each exception to it. The
// package performs no I/O and reads no clock: it takes a Snapshot and returns decisions, and the same snapshot always
// gives the same decisions.
//
// There are three kinds of pass over a snapshot:
//
//   - A fill (Snapshot.Fill) starts waiting tasks on free resources and stops no task. It places services first, then
//     one task of each starved batch and whole starved gangs. Then it reserves headroom for expected replicas. Finally
//     it makes four passes over batches: within guarantees, within slots, interrupted tasks, spare room. Gangs take
//     part in the first two.
//   - A round (Snapshot.Preempt) follows a fill at fixed intervals. For tasks that found no room it selects
//     lower-ranked tasks to preempt, and reserves the resources that they free. The stops for one task, or for a whole
//     gang, are all or nothing.
//   - A plan (Snapshot.Plan) places the remaining waiting tasks on free and booting machines. Where these lack room,
//     the plan scales out: it lists the machines to rent. The caller may return the machines that the plan leaves
//     unused.
//
// Consolidation (Snapshot.WithoutMachine) determines whether an expensive machine can be emptied.
//
// Machines are chosen by bin packing: each machine that accepts a task has a score, and the lowest score wins.
// machineIndex finds that machine without scoring all others, which keeps the cost of a fill low for fleets of
// thousands of machines (docs/scale.md).
package scheduler
