package former

import "time"

// era returns the newest known era of the store.
func (c *Controller) era() int64 {
	if c.Eras == nil {
		return 0
	}
	return c.Eras.Newest()
}

// claimDelay is the time after a new era was seen before runners have written again what
// the store has lost.
const claimDelay = 2200 * time.Millisecond
