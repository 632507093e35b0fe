package completionjournal

import (
	"encoding/base64"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/fxamacker/cbor/v2"

	"claybarrow/internal/protocol"
)

// randomEntries returns n different entries of a few jobs and machines.
func randomEntries(random *rand.Rand, n int) []Entry {
	seen := map[Entry]bool{}
	var entries []Entry
	for len(entries) < n {
		e := Entry{Job: "j-" + strconv.Itoa(100000+random.IntN(9)), Index: random.IntN(maxTasks)}
		if random.IntN(2) == 0 {
			e.Machine, e.Attempt = "i-"+strconv.Itoa(100000+random.IntN(9)), random.Uint64()
		}
		if !seen[e] {
			seen[e] = true
			entries = append(entries, e)
		}
	}
	return entries
}

// Entries are decoded as they were encoded, including the state service's encoding of the value. Their order may
// change.
func TestValueRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 200 {
		entries := randomEntries(random, n)
		var stored Value
		if err := protocol.Decode(protocol.Encode(Encode(7, 3, entries)), &stored); err != nil {
			t.Fatal(err)
		}
		got, err := Decode(Key(7, 3), stored)
		if err != nil {
			t.Fatal(err)
		}
		slices.SortFunc(entries, compareEntries)
		slices.SortFunc(got, compareEntries)
		if !slices.Equal(got, entries) {
			t.Fatalf("%d entries: decoded %v, want %v", n, got, entries)
		}
	}
}

// The encoding of a value is fixed: every later version must be able to decode it.
func TestEncodingIsFixed(t *testing.T) {
	v := Encode(41, 2, []Entry{{Job: "j-000412", Index: 3}, {Job: "j-000412", Index: 3, Machine: "i-000231", Attempt: 41<<24 | 5}})
	want := Value{Form: 1, Token: 41, Number: 2, Sum: 5072850733736187686,
		Body: "ogGBgmhqLTAwMDQxMlI6MAAAAQAAAAAAAAAQAAAAAwACgYJoaS0wMDAyMzGBg2hqLTAwMDQxMgMaKQAABQ=="}
	if v != want {
		t.Errorf("encoded to another value: %+v", v)
	}
}

// valueWithBody returns a value with the given body and the matching checksum.
func valueWithBody(token, number uint64, body []byte) Value {
	return Value{Form: FormatVersion, Token: token, Number: number, Sum: checksum(token, number, body), Body: base64.StdEncoding.EncodeToString(body)}
}

func encodeBody(t testing.TB, in valueBody) Value {
	t.Helper()
	body, err := cbor.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	return valueWithBody(5, 1, body)
}

// Each kind of damage is reported by an error of its kind, and none crashes the process.
func TestDamagedValues(t *testing.T) {
	good := Encode(5, 1, []Entry{{Job: "j-000001", Index: 1}, {Job: "j-000001", Index: 2, Machine: "i-000001", Attempt: 9}})
	change := func(alter func(v *Value)) Value {
		v := good
		alter(&v)
		return v
	}
	beyond, err := roaring.BitmapOf(maxTasks).ToBytes()
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name  string
		key   string
		value Value
		want  error
	}{
		{"a later format version", Key(5, 1), change(func(v *Value) { v.Form = FormatVersion + 1 }), ErrFormatVersion},
		{"no format version", Key(5, 1), change(func(v *Value) { v.Form = 0 }), ErrMalformed},
		{"of another token", Key(6, 1), good, ErrWrongKey},
		{"copied to another number", Key(5, 2), good, ErrWrongKey},
		{"token changed in place", Key(6, 1), change(func(v *Value) { v.Token = 6 }), ErrChecksum},
		{"truncated", Key(5, 1), change(func(v *Value) { v.Body = v.Body[:len(v.Body)-4] }), ErrChecksum},
		{"not base64", Key(5, 1), change(func(v *Value) { v.Body = "?" + v.Body[1:] }), ErrMalformed},
		{"altered", Key(5, 1), change(func(v *Value) { v.Body = "AAAA" + v.Body[4:] }), ErrChecksum},
		{"another checksum", Key(5, 1), change(func(v *Value) { v.Sum++ }), ErrChecksum},
		{"empty", Key(5, 1), Value{}, ErrMalformed},
		{"not CBOR", Key(5, 1), valueWithBody(5, 1, []byte{0xff}), ErrMalformed},
		{"not a bitmap", Key(5, 1), encodeBody(t, valueBody{Completions: []jobCompletions{{Job: "j-000001", Tasks: []byte("bitmap")}}}), ErrMalformed},
		{"a task index beyond any job", Key(5, 1), encodeBody(t, valueBody{Completions: []jobCompletions{{Job: "j-000001", Tasks: beyond}}}), ErrMalformed},
		{"a departure without a machine", Key(5, 1), encodeBody(t, valueBody{Departures: []machineDepartures{{Attempts: []departedAttempt{{Job: "j-000001"}}}}}), ErrMalformed},
		{"a departure's task index beyond any job", Key(5, 1), encodeBody(t, valueBody{Departures: []machineDepartures{{Machine: "i-1", Attempts: []departedAttempt{{Index: maxTasks}}}}}), ErrMalformed},
		{"a key of something else", "g/5/one", good, ErrMalformed},
		{"a key with a leading zero", "g/05/1", good, ErrMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got, err := Decode(tc.key, tc.value); !errors.Is(err, tc.want) || got != nil {
				t.Errorf("entries %v, error %v, want %v", got, err, tc.want)
			}
		})
	}
}

// FuzzDecode decodes arbitrary bodies. None may crash the process or give a task index outside the allowed range.
func FuzzDecode(f *testing.F) {
	for _, entries := range [][]Entry{nil, {{Job: "j-000001", Index: 1}}, {{Job: "j-000001", Index: 2, Machine: "i-000001", Attempt: 9}}} {
		body, err := cbor.Marshal(groupEntries(entries))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		entries, err := Decode(Key(1, 1), valueWithBody(1, 1, body))
		if err != nil && entries != nil {
			t.Error("Decode returns both entries and an error")
		}
		for _, e := range entries {
			if e.Index < 0 || e.Index >= maxTasks {
				t.Errorf("entry %+v has a task index out of range", e)
			}
		}
	})
}
