package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"testing"
)

func submissionWith(change map[string]any) map[string]any {
	m := map[string]any{"uid": "j-000412", "tier": "train", "owner": "vision", "shape": "batch", "rank": "high",
		"shards": 16, "cores": 8.0, "accelerators": 1, "ramGb": 64.0, "bundle": "img-07", "sizeGb": 6.2,
		"flavours": []string{"g8"}, "yard": nil, "together": false, "apart": false, "borrowed": true,
		"expectS": 240.0, "saveEveryS": 30.0, "saveTakesS": 4.0, "dueS": 900.0, "later": "ignored"}
	maps.Copy(m, change)
	return m
}

func TestValidSubmission(t *testing.T) {
	for _, change := range []map[string]any{
		{}, {"shards": 16.0}, {"cores": 8}, {"flavours": nil}, {"dueS": nil}, {"yard": "a"}, {"shape": "service"},
		{"shards": 100_000}, {"accelerators": 0},
	} {
		t.Run(fmt.Sprint(change), func(t *testing.T) {
			if _, spec, err := ParseSubmission(Encode(submissionWith(change))); err != nil || spec == nil {
				t.Error(err)
			}
		})
	}
}

// Each invalid value is rejected with an error that names its field. The text of the error is logged.
func TestInvalidSubmission(t *testing.T) {
	for _, tc := range []struct {
		field string
		value any
		want  string
	}{
		{"uid", "x", "uid: not in the form of a job id"},
		{"uid", 7, "uid: not a text of 1 to 200 bytes"},
		{"shards", 0, "shards: not a whole number from 1 to 100000"},
		{"shards", 100_001, "shards: not a whole number from 1 to 100000"},
		{"shards", 1.5, "shards: not a whole number from 1 to 100000"},
		{"shards", -1, "shards: not an amount of 0 or more"},
		{"shards", "16", "shards: not an amount of 0 or more"},
		{"cores", math.NaN(), "cores: not an amount of 0 or more"},
		{"cores", -1.0, "cores: not an amount of 0 or more"},
		{"cores", math.Inf(1), "cores: not an amount of 0 or more"},
		{"cores", nil, "cores: missing"},
		{"cores", true, "cores: not an amount of 0 or more"},
		{"ramGb", "64", "ramGb: not an amount of 0 or more"},
		{"rank", "top", `rank: "top" is unknown`},
		{"shape", 1, "shape: not a text of 1 to 200 bytes"},
		{"shape", "ring", `shape: "ring" is neither batch, service nor group`},
		{"together", 1, "together: not true or false"},
		{"borrowed", nil, "borrowed: missing"},
		{"flavours", "g8", "flavours: not a list"},
		{"flavours", []any{1}, "flavours: not a list of texts"},
		{"yard", 4, "yard: not a text of 1 to 200 bytes"},
		{"owner", "", "owner: not a text of 1 to 200 bytes"},
		{"bundle", nil, "bundle: missing"},
		{"dueS", -1.0, "dueS: not an amount of 0 or more"},
		{"expectS", "1", "expectS: not an amount of 0 or more"},
	} {
		t.Run(fmt.Sprintf("%s %v", tc.field, tc.value), func(t *testing.T) {
			_, spec, err := ParseSubmission(Encode(submissionWith(map[string]any{tc.field: tc.value})))
			if err == nil || spec != nil {
				t.Fatal("the invalid submission was accepted")
			}
			var invalid *ValidationError
			if !errors.As(err, &invalid) || invalid.Field != tc.field || err.Error() != tc.want {
				t.Errorf("%v, want %s", err, tc.want)
			}
		})
	}
}

func TestSubmissionOfNoResources(t *testing.T) {
	change := map[string]any{"cores": 0, "accelerators": 0, "ramGb": 0}
	_, spec, err := ParseSubmission(Encode(submissionWith(change)))
	var invalid *ValidationError
	if !errors.As(err, &invalid) || invalid.Field != "cores" || spec != nil {
		t.Errorf("%v", err)
	}
}

// The uid of an invalid submission is returned: a damaged repetition of an accepted submission is answered by its
// uid.
func TestUIDOfInvalidSubmission(t *testing.T) {
	uid, _, err := ParseSubmission(Encode(submissionWith(map[string]any{"rank": "top"})))
	if err == nil || uid != "j-000412" {
		t.Errorf("uid of an invalid submission: %q, %v", uid, err)
	}
}

// If several fields are invalid, the first one in the order of reading is reported.
func TestFirstInvalidFieldIsReported(t *testing.T) {
	change := map[string]any{}
	order := []string{"flavours", "shards", "rank", "shape", "expectS", "together", "sizeGb", "yard", "tier"}
	for _, field := range order {
		change[field] = []any{1}
		var invalid *ValidationError
		if _, _, err := ParseSubmission(Encode(submissionWith(change))); !errors.As(err, &invalid) || invalid.Field != field {
			t.Errorf("error %v, want one about field %s", err, field)
		}
	}
}

// Every field is required, except that a field that may be null may also be missing.
func TestMissingFields(t *testing.T) {
	mayBeNull := map[string]bool{"flavours": true, "yard": true, "dueS": true, "later": true}
	for field := range submissionWith(nil) {
		withoutField := submissionWith(nil)
		delete(withoutField, field)
		for how, values := range map[string]map[string]any{
			"missing": withoutField,
			"null":    submissionWith(map[string]any{field: nil}),
		} {
			t.Run(field+" "+how, func(t *testing.T) {
				if _, _, err := ParseSubmission(Encode(values)); (err == nil) != mayBeNull[field] {
					t.Error(err)
				}
			})
		}
	}
}

// A body that is not a submission is rejected with the error of its kind.
func TestMalformedBodies(t *testing.T) {
	for _, tc := range []struct {
		name string
		body []byte
		want error
	}{
		{"empty", nil, ErrMalformed},
		{"text", []byte("hello"), ErrMalformed},
		{"list", Encode([]int{1}), ErrNotAMap},
		{"cut", Encode(submissionWith(nil))[:40], ErrMalformed},
		{"deep", bytes.Repeat([]byte{0x91}, 60_000), ErrNestedTooDeeply},
		{"deep pairs", bytes.Repeat([]byte{0x92, 0xc0}, 30_000), ErrMalformed},
		{"huge array", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		{"huge map", []byte{0xdf, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		{"large", make([]byte, MaxBodyBytes+1), ErrBodyTooLarge},
		{"bytes after the end", append(Encode(submissionWith(nil)), 0xc0), ErrMalformed},
		{"number keys", Encode(map[int]int{1: 2}), nil}, // the decoder's own error
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, spec, err := ParseSubmission(tc.body)
			if err == nil || spec != nil {
				t.Fatal("the malformed body was accepted")
			}
			if tc.want != nil && !errors.Is(err, tc.want) {
				t.Errorf("%v, want %v", err, tc.want)
			}
		})
	}
}
