package protocol

// Bounds on the values of a submission.
const (
	maxTextBytes  = 200
	maxListLength = 1000
	maxAmount     = 1e12
)

// presence is whether a field may be null or missing.
type presence bool

const (
	required presence = false
	optional presence = true
)

// submissionFields reads the fields of a submission and stores the first error.
type submissionFields struct {
	values map[string]any
	err    error
}

// fail stores the error of a field, unless an error is stored already.
func (f *submissionFields) fail(field, reason string) {
	if f.err == nil {
		f.err = &ValidationError{Field: field, Reason: reason}
	}
}

// value returns the value of a field, and false if the field is null or missing.
func (f *submissionFields) value(field string, presence presence) (any, bool) {
	value := f.values[field]
	if value == nil && presence == required {
		f.fail(field, "missing")
	}
	return value, value != nil
}

func (f *submissionFields) text(field string, presence presence) string {
	value, ok := f.value(field, presence)
	if !ok {
		return ""
	}
	text, ok := validText(value)
	if !ok {
		f.fail(field, "not a text of 1 to 200 bytes")
	}
	return text
}

// validText returns the value as a text, and false if it is not a text, or is empty or too long.
func validText(value any) (string, bool) {
	text, ok := value.(string)
	return text, ok && text != "" && len(text) <= maxTextBytes
}

func (f *submissionFields) flag(field string) bool {
	value, ok := f.value(field, required)
	if !ok {
		return false
	}
	flag, ok := value.(bool)
	if !ok {
		f.fail(field, "not true or false")
	}
	return flag
}

func (f *submissionFields) amount(field string, presence presence) float64 {
	value, ok := f.value(field, presence)
	if !ok {
		return 0
	}
	amount, ok := number(value)
	// !(amount >= 0) is true for NaN, too.
	if !ok || !(amount >= 0) || amount > maxAmount {
		f.fail(field, "not an amount of 0 or more")
		return 0
	}
	return amount
}

// number converts an integer or floating-point value: MessagePack encoders differ in the types that they use.
func number(value any) (float64, bool) {
	switch n := value.(type) {
	case int8:
		return float64(n), true
	case int16:
		return float64(n), true
	case int32:
		return float64(n), true
	case int64:
		return float64(n), true
	case uint8:
		return float64(n), true
	case uint16:
		return float64(n), true
	case uint32:
		return float64(n), true
	case uint64:
		return float64(n), true
	case float32:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}
