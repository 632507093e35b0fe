package protocol

import (
	"fmt"
	"math"
)

// Field names of a submission on the wire. JobSpec has the usual terms for them.
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

// priorities maps the values of fieldPriority to priorities.
var priorities = map[string]Priority{
	"production": PriorityProduction,
	"high":       PriorityHigh,
	"normal":     PriorityNormal,
	"idle":       PriorityIdle,
}

// ValidationError means that a field of a submission is missing or invalid.
type ValidationError struct {
	Field  string // name on the wire
	Reason string
}

// Error returns the field and the reason.
func (e *ValidationError) Error() string { return e.Field + ": " + e.Reason }

// ParseSubmission decodes and validates a submission. The error is a *ValidationError for the first invalid
// field, one of ErrMalformed, ErrBodyTooLarge, ErrNestedTooDeeply and ErrNotAMap, or the decoder's error.
// With a *ValidationError, the uid is returned if it is a string: a repeated submission of an accepted job is
// answered with the job's state, even if the other fields of the repetition are invalid.
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

// parse reads all fields. If several fields are invalid, the order of reading determines which error is
// reported.
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
		f.fail(fieldCores, "a task must request cores, accelerators or memory")
	}
	spec.Types = f.machineTypes()
	return spec
}

// shape reports whether the job is a service or a gang. If neither is true, the job is a job array.
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

// machineTypes reads the list of machine types. It is nil, which allows all types, if the field is null or
// missing. An empty list allows no type.
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
