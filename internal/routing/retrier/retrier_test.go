package retrier

import "testing"

// TestBudget checks that retries stay within the burst plus what first attempts
// earn, also after Resize has reduced the burst.
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
		t.Errorf("%d retries without first attempts, wanted 10", n)
	}
	for range 25 {
		b.Earn()
	}
	if n := spend(); n < 4 || n > 5 {
		t.Errorf("%d retries for 25 requests, wanted 5", n)
	}
	for range 1000 {
		b.Earn()
	}
	b.Resize(0.5, 3)
	if n := spend(); n != 3 {
		t.Errorf("%d retries after the burst was reduced, wanted 3", n)
	}
	for range 5 {
		b.Earn()
	}
	if n := spend(); n != 2 {
		t.Errorf("%d retries for 5 requests that earn half a retry each, wanted 2", n)
	}
	b = &Budget{}
	if n := spend(); n != defaultInitialRetries {
		t.Errorf("%d retries by default, wanted %d", n, defaultInitialRetries)
	}
}
