package protocol

import (
	"bytes"
	"maps"
	"math"
	"testing"
)

func submission(change map[string]any) map[string]any {
	m := map[string]any{"uid": "j-000412", "tier": "train", "owner": "vision", "shape": "batch", "rank": "high",
		"shards": 16, "cores": 8.0, "accelerators": 1, "ramGb": 64.0, "bundle": "img-07", "sizeGb": 6.2,
		"flavours": []string{"g8"}, "yard": nil, "together": false, "apart": false, "borrowed": true,
		"expectS": 240.0, "saveEveryS": 30.0, "saveTakesS": 4.0, "dueS": 900.0, "later": "ignored"}
	maps.Copy(m, change)
	return m
}

func TestSubmission(t *testing.T) {
	good := []map[string]any{
		{}, {"shards": 16.0}, {"cores": 8}, {"flavours": nil}, {"dueS": nil}, {"yard": "a"}, {"shape": "service"},
		{"shards": 100_000}, {"accelerators": 0},
	}
	for _, change := range good {
		if _, s, err := ParseSubmission(Encode(submission(change))); err != nil || s == nil {
			t.Errorf("%v: %v", change, err)
		}
	}
	bad := []map[string]any{
		{"uid": "x"}, {"uid": 7}, {"shards": 0}, {"shards": 100_001}, {"shards": 1.5}, {"shards": -1}, {"shards": "16"},
		{"cores": math.NaN()}, {"cores": -1.0}, {"cores": math.Inf(1)}, {"cores": nil}, {"cores": true}, {"ramGb": "64"},
		{"rank": "top"}, {"shape": 1}, {"shape": "ring"}, {"together": 1}, {"borrowed": nil}, {"flavours": "g8"},
		{"flavours": []any{1}}, {"yard": 4}, {"owner": ""}, {"bundle": nil}, {"dueS": -1.0}, {"expectS": "1"},
	}
	for _, change := range bad {
		if _, s, err := ParseSubmission(Encode(submission(change))); err == nil || s != nil {
			t.Errorf("%v was taken", change)
		}
	}
	// A damaged repeat of an accepted job is answered by its id.
	if uid, _, err := ParseSubmission(Encode(submission(map[string]any{"rank": "top"}))); err == nil || uid != "j-000412" {
		t.Errorf("uid of a malformed submission: %q, %v", uid, err)
	}
}

// Each field has to be there; those that may be null may also be left out.
func TestMissingFields(t *testing.T) {
	mayBeNull := map[string]bool{"flavours": true, "yard": true, "dueS": true, "later": true}
	for field := range submission(nil) {
		without := submission(nil)
		delete(without, field)
		for how, m := range map[string]map[string]any{"missing": without, "null": submission(map[string]any{field: nil})} {
			if _, _, err := ParseSubmission(Encode(m)); (err == nil) != mayBeNull[field] {
				t.Errorf("%s %s: %v", field, how, err)
			}
		}
	}
}

func TestMalformedBodies(t *testing.T) {
	deep := bytes.Repeat([]byte{0x91}, 60_000)
	for name, body := range map[string][]byte{
		"empty": nil, "text": []byte("hello"), "list": Encode([]int{1}), "cut": Encode(submission(nil))[:40],
		"deep": deep, "deep pairs": bytes.Repeat([]byte{0x92, 0xc0}, 30_000), "huge array": {0xdd, 0xff, 0xff, 0xff, 0xff}, "huge map": {0xdf, 0xff, 0xff, 0xff, 0xff},
		"large": make([]byte, MaxBody+1), "bytes after the end": append(Encode(submission(nil)), 0xc0), "number keys": Encode(map[int]int{1: 2}),
	} {
		if _, s, err := ParseSubmission(body); err == nil || s != nil {
			t.Errorf("%s was taken", name)
		}
	}
}
