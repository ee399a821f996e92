package beater

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// oddObject is a case of testdata/odd_objects.json: an object as another version may send
// it, with the numbers of its fields as names.
type oddObject struct {
	Name   string `json:"name"`
	Object any    `json:"object"`
	// Named is set if the object's name can be told, and Readable if it can be used.
	Named    bool `json:"named"`
	Readable bool `json:"readable"`
}

// encoded returns a JSON value with its placeholders replaced, for cbor to encode.
func encoded(v any) any {
	switch v := v.(type) {
	case map[string]any:
		m := map[int]any{}
		for name, x := range v {
			n, _ := strconv.Atoi(name)
			m[n] = encoded(x)
		}
		return m
	case []any:
		list := []any{}
		for _, x := range v {
			list = append(list, encoded(x))
		}
		return list
	case json.Number:
		if n, err := strconv.ParseInt(v.String(), 10, 64); err == nil {
			return n
		}
		if n, err := strconv.ParseUint(v.String(), 10, 64); err == nil {
			return n
		}
		f, _ := v.Float64()
		return f
	case string:
		switch v {
		case "SPEC":
			return []byte("{}")
		case "BYTES":
			return "m\xff"
		case "LONG":
			return strings.Repeat("x", 4000)
		}
	}
	return v
}

func readOdd(t testing.TB) []oddObject {
	t.Helper()
	f, err := os.Open("testdata/odd_objects.json")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	d := json.NewDecoder(f)
	d.UseNumber()
	cases := []oddObject{}
	if err := d.Decode(&cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

// oddMessages returns a datagram with changes and one with a part of a list, in which the
// object stands between two good ones.
func oddMessages(t testing.TB, o oddObject) [][]byte {
	t.Helper()
	good := func(name string) any { return map[int]any{1: name, 2: []int{0, 6}, 3: []byte("{}")} }
	objects := []any{good("a"), encoded(o.Object), good("z")}
	list := [][]byte{}
	for kind, message := range map[byte]any{
		changesKind: map[int]any{1: "k", 2: []int{0, 4}, 3: []int{0, 9}, 4: objects},
		listKind:    map[int]any{1: "k", 2: []int{0, 9}, 3: 0, 4: 1, 5: objects},
	} {
		packed, err := pack(message)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, append([]byte{kind}, packed...))
	}
	return list
}

// TestOddObjectCostsNoOther guards against an object of another version with which the other
// changes of a datagram, or the other objects of a list, are lost.
func TestOddObjectCostsNoOther(t *testing.T) {
	for _, x := range readOdd(t) {
		t.Run(x.Name, func(t *testing.T) {
			received := [][]follower.Object{}
			b := wire{}.add(t, "b", "10.0.0.2:1")
			b.OnChanges = func(c follower.Changes) { received = append(received, c.Objects) }
			b.OnListPart = func(p follower.ListPart) { received = append(received, p.Objects) }
			for _, message := range oddMessages(t, x) {
				if err := b.handleDatagram(message, &net.UDPAddr{}); err != nil {
					t.Error(err)
				}
			}
			if len(received) != 2 {
				t.Fatalf("%d of 2 datagrams were passed on", len(received))
			}
			for _, list := range received {
				if len(list) != 3 || list[0].Name != "a" || list[2].Name != "z" || list[2].Problem != nil || list[2].Kind != "k" {
					t.Fatalf("objects %+v", list)
				}
				o := list[1]
				if (o.Name == "m") != x.Named || (o.Problem == nil) != x.Readable || !x.Named && o.Name != "" {
					t.Errorf("object %+v", o)
				}
				last := sequencer.Position{Revision: 9}
				if o.Name != "" && o.At != last && o.At != (sequencer.Position{Revision: 5}) {
					t.Errorf("object is of %+v", o.At)
				}
			}
		})
	}
}

// FuzzPeerObjects checks that no datagram with objects makes a node panic, also as it sends next.
func FuzzPeerObjects(f *testing.F) {
	for _, x := range readOdd(f) {
		for _, message := range oddMessages(f, x) {
			f.Add(message)
		}
	}
	beat, err := cbor.Marshal(&Heartbeat{Node: "n", IntervalMS: 40, InFlight: map[string]int{"r": 3}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(append([]byte{beatKind}, make([]byte, echoBytes)...), beat...))
	f.Add([]byte{relayKind, 0xa1, 0x03, 0x04})
	f.Add([]byte{grantKind, 0xa0})
	f.Fuzz(func(t *testing.T, message []byte) {
		if len(message) == 0 {
			return
		}
		b := wire{}.add(t, "b", "10.0.0.2:1")
		b.Transmit = func([]byte, *net.UDPAddr) error { return nil }
		b.OnChanges = func(follower.Changes) {}
		b.OnListPart = func(follower.ListPart) {}
		b.OnObject = func(follower.Object) {}
		b.OnGrant = func(Grant) {}
		b.OnHeartbeat = func(h *Heartbeat) { _ = h.Interval() }
		_ = b.handleDatagram(message, &net.UDPAddr{IP: net.IPv4(10, 0, 0, 3), Port: 1})
		b.send()
	})
}
