package retrier

import "testing"

// TestBudget checks that repeats stay within the burst and what requests earn,
// also when the burst becomes smaller.
func TestBudget(t *testing.T) {
	b := &Budget{PerRequest: 0.2, Burst: 10}
	spend := func() int {
		n := 0
		for b.Spend() {
			n++
		}
		return n
	}
	if n := spend(); n != 10 {
		t.Errorf("%d repeats without load, wanted 10", n)
	}
	for range 25 {
		b.Earn()
	}
	if n := spend(); n < 4 || n > 5 {
		t.Errorf("%d repeats for 25 requests, wanted 5", n)
	}
	for range 1000 {
		b.Earn()
	}
	b.Resize(0.5, 3)
	if n := spend(); n != 3 {
		t.Errorf("%d repeats after the burst became smaller, wanted 3", n)
	}
	for range 5 {
		b.Earn()
	}
	if n := spend(); n != 2 {
		t.Errorf("%d repeats for 5 requests that earn half a repeat each, wanted 2", n)
	}
	b = &Budget{}
	if n := spend(); n != reserve {
		t.Errorf("%d repeats by default, wanted %d", n, reserve)
	}
}
