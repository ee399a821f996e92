package relayer

import "testing"

// TestEventEndIsFoundInAnyParts checks that the end of the last complete event is found however the
// bytes are split between two reads.
func TestEventEndIsFoundInAnyParts(t *testing.T) {
	for _, x := range []struct {
		bytes string
		end   int
	}{{"id: 1\n\n", 7}, {"id: 1\n\nid: 2\n", 7}, {"a\n\n\n", 4}, {"a\n\nb\n\n", 6}, {"a\nb\n", 0}, {"\n\n", 2}} {
		b := []byte(x.bytes)
		for n := range len(b) {
			if lastEventEnd(b[:n], 0) > 0 {
				break
			}
			if end := lastEventEnd(b, n); end != x.end {
				t.Errorf("%q after %d bytes: got %d, wanted %d", b, n, end, x.end)
			}
		}
	}
}
