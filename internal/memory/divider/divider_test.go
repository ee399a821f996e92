package divider

import (
	"encoding/json"
	"os"
	"testing"
)

// programBytes is what a process takes besides its heap: the program, and tables of the system.
const programBytes = 12 << 20

// TestSharesFitTheMachine guards against shares that exceed the machine when all of them are used.
func TestSharesFitTheMachine(t *testing.T) {
	b, err := os.ReadFile("testdata/machines.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []struct {
		MemoryMiB int64 `json:"memory_mib"`
		Sockets   int64 `json:"sockets"`
		// Callers is how many connections of callers there must be room for.
		Callers int `json:"callers"`
	}{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		d := &Divider{Memory: x.MemoryMiB << 20, Sockets: x.Sockets}
		used, sockets := d.Bytes(Heap)+programBytes, int64(0)
		for _, s := range []Sockets{Callers, Nodes, Checks, Checks} {
			sockets += int64(d.Connections(s))
			used += int64(d.Connections(s)+d.Waiting(s)) * 2 * ReceiveBufferBytes
		}
		if used > d.Memory {
			t.Errorf("%d MiB: %d KiB are shared out, more than %d", x.MemoryMiB, used>>10, d.Memory>>10)
		}
		// Each caller may need a connection to a runner.
		if sockets+int64(d.Connections(Callers)) > x.Sockets && x.Sockets > 0 {
			t.Errorf("%d sockets: %d are shared out, and callers may need %d more", x.Sockets, sockets, d.Connections(Callers))
		}
		if n := d.Connections(Callers); n < x.Callers {
			t.Errorf("%d MiB, %d sockets: only %d connections of callers, wanted %d", x.MemoryMiB, x.Sockets, n, x.Callers)
		}
	}
}
