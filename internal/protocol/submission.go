package protocol

import (
	"fmt"
	"math"
)

// Fields of a submission by the protocol's names. Spec has the usual terms for them.
const (
	fieldUID          = "uid"
	fieldClass        = "tier"
	fieldTeam         = "owner"
	fieldShape        = "shape"
	fieldPriority     = "rank"
	fieldTasks        = "shards"
	fieldCores        = "cores"
	fieldAccelerators = "accelerators"
	fieldMemoryGB     = "ramGb"
	fieldImage        = "bundle"
	fieldImageGB      = "sizeGb"
	fieldTypes        = "flavours"
	fieldZone         = "yard"
	fieldOneZone      = "together"
	fieldSpread       = "apart"
	fieldSpot         = "borrowed"
	fieldEstimateS    = "expectS"
	fieldCheckpointS  = "saveEveryS"
	fieldSaveS        = "saveTakesS"
	fieldDeadlineS    = "dueS"
)

// Values of fieldShape.
const (
	shapeArray   = "batch"
	shapeService = "service"
	shapeGang    = "group"
)

// priorities are the values of fieldPriority.
var priorities = map[string]Priority{
	"production": PriorityProduction,
	"high":       PriorityHigh,
	"normal":     PriorityNormal,
	"idle":       PriorityIdle,
}

// ValidationError is the error of a submission with a field that is missing or invalid.
type ValidationError struct {
	Field  string // by the protocol's name
	Reason string
}

// Error names the field and what is wrong with it.
func (e *ValidationError) Error() string { return e.Field + ": " + e.Reason }

// ParseSubmission reads and validates a submission. The error is a *ValidationError for the first
// field that is wrong, or one of ErrMalformed, ErrBodyTooLarge, ErrNestedTooDeeply and ErrNotAMap.
// The uid is returned as far as it could be read, also with an error: a job that was accepted
// before is answered with its state whatever a repeat of its submission holds.
func ParseSubmission(body []byte) (uid string, spec *JobSpec, err error) {
	values, err := decodeSubmission(body)
	if err != nil {
		return "", nil, err
	}
	fields := &submissionFields{values: values}
	spec = fields.parse()
	if fields.err != nil {
		uid, _ = values[fieldUID].(string)
		return uid, nil, fields.err
	}
	return spec.UID, spec, nil
}

// parse reads all fields. The order decides which error is reported where several fields are
// wrong.
func (f *submissionFields) parse() *JobSpec {
	spec := &JobSpec{
		UID:          f.text(fieldUID, required),
		Class:        f.text(fieldClass, required),
		Team:         f.text(fieldTeam, required),
		Image:        f.text(fieldImage, required),
		Zone:         f.text(fieldZone, optional),
		Cores:        f.amount(fieldCores, required),
		Accelerators: f.amount(fieldAccelerators, required),
		MemoryGB:     f.amount(fieldMemoryGB, required),
		ImageGB:      f.amount(fieldImageGB, required),
		OneZone:      f.flag(fieldOneZone),
		Spread:       f.flag(fieldSpread),
		Spot:         f.flag(fieldSpot),
		EstimateS:    f.amount(fieldEstimateS, required),
		CheckpointS:  f.amount(fieldCheckpointS, required),
		SaveS:        f.amount(fieldSaveS, required),
		DeadlineS:    f.amount(fieldDeadlineS, optional),
	}
	if !ValidJobID(spec.UID) {
		f.fail(fieldUID, "not in the form of a job id")
	}
	spec.Service, spec.Gang = f.shape()
	spec.Priority = f.priority()
	spec.Tasks = f.taskCount()
	if spec.Cores == 0 && spec.Accelerators == 0 && spec.MemoryGB == 0 {
		f.fail(fieldCores, "a task must take something")
	}
	spec.Types = f.machineTypes()
	return spec
}

// shape says whether the job is a service or a gang; neither: a job array.
func (f *submissionFields) shape() (service, gang bool) {
	shape := f.text(fieldShape, required)
	switch shape {
	case shapeArray:
	case shapeService:
		return true, false
	case shapeGang:
		return false, true
	default:
		f.fail(fieldShape, fmt.Sprintf("%.40q is neither batch, service nor group", shape))
	}
	return false, false
}

func (f *submissionFields) priority() Priority {
	name := f.text(fieldPriority, required)
	priority, known := priorities[name]
	if !known {
		f.fail(fieldPriority, fmt.Sprintf("%.40q is unknown", name))
	}
	return priority
}

func (f *submissionFields) taskCount() int {
	count := f.amount(fieldTasks, required)
	if count < 1 || count > MaxTasksPerJob || count != math.Trunc(count) {
		f.fail(fieldTasks, "not a whole number from 1 to 100000")
	}
	return int(count)
}

// machineTypes reads the list of machine types: nil if it is null or left out. An empty list
// allows no type at all, which is not the same.
func (f *submissionFields) machineTypes() []string {
	value, ok := f.values[fieldTypes]
	if !ok || value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok || len(list) > maxListLength {
		f.fail(fieldTypes, "not a list")
		return nil
	}
	names := make([]string, 0, len(list))
	for _, element := range list {
		name, ok := validText(element)
		if !ok {
			f.fail(fieldTypes, "not a list of texts")
			break
		}
		names = append(names, name)
	}
	return names
}
