package observer

import (
	"sync"
	"sync/atomic"
	"time"
)

// Path is what this node's connections to one server have shown. All methods may be called
// on a nil Path, which records nothing.
type Path struct {
	observer *Observer
	// readAt is when the server last sent bytes, in nanoseconds since observer.epoch.
	readAt atomic.Int64

	mu sync.Mutex
	// openedAt is when the server last answered on a new connection.
	openedAt time.Time
	// missedAt is when a connection or probe last failed, and missStarted when that one was
	// started. failedSince is when the first one was started that failed since openedAt.
	missedAt, missStarted, failedSince time.Time
	// waiting is the number of requests without their whole response. busySince is when
	// it last rose from 0.
	waiting   int
	busySince time.Time
	// probedAt is when the last probe was asked for, and pause the least time until the next
	// one because of silence.
	probedAt time.Time
	pause    time.Duration
	// sampledAt is when the server was last probed although nothing spoke against it, or
	// zero if it has answered since.
	sampledAt time.Time
	// doubtedAt is when a connection last broke.
	doubtedAt time.Time
}

// Read records that the server has sent bytes.
func (p *Path) Read() {
	if p == nil {
		return
	}
	p.readAt.Store(int64(p.observer.now().Sub(p.observer.epoch())))
}

// Open records that the server has answered on a new connection. That a connection was
// accepted is not enough: something in between may accept it.
func (p *Path) Open() {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.openedAt, p.failedSince, p.sampledAt = p.observer.now(), time.Time{}, time.Time{}
	p.mu.Unlock()
}

// Miss records that a connection or probe failed that was started at a time.
func (p *Path) Miss(started time.Time) {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.missedAt, p.missStarted, p.pause = p.observer.now(), started, 0
	if p.failedSince.IsZero() {
		p.failedSince = started
	}
	p.mu.Unlock()
	p.observer.notifyDoubt()
}

// Doubt records that a connection broke, so that the server is probed.
func (p *Path) Doubt() {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.doubtedAt = p.observer.now()
	p.mu.Unlock()
	p.observer.notifyDoubt()
}

// Begin records that a request is sent, and End that its response has been read or given up.
func (p *Path) Begin() {
	if p == nil {
		return
	}
	p.mu.Lock()
	if p.waiting++; p.waiting == 1 {
		p.busySince = p.observer.now()
	}
	p.mu.Unlock()
}

// End is the counterpart of Begin.
func (p *Path) End() {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.waiting--
	p.mu.Unlock()
}

// sight is a copy of a Path at one time.
type sight struct {
	target *Target
	path   *Path
	// openedAt, readAt, missStarted and failedSince are as in Path.
	openedAt, readAt, missStarted, failedSince time.Time
	// isSample is set if a probe of a sample was the first to fail.
	isSample bool
	// isMissing is set if the last connection has failed lately, and isSilent if the server
	// has sent nothing since that one was started.
	isMissing, isSilent bool
	// quietFor is how long requests have waited without a byte from the server.
	quietFor time.Duration
	probedAt time.Time
	pause    time.Duration
	// isDoubted is set if a connection has broken since the last probe.
	isDoubted bool
}

func (p *Path) sight(t *Target, now time.Time) sight {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := sight{target: t, path: p, openedAt: p.openedAt, missStarted: p.missStarted, failedSince: p.failedSince, probedAt: p.probedAt, pause: p.pause}
	if n := p.readAt.Load(); n != 0 {
		s.readAt = p.observer.epoch().Add(time.Duration(n))
	}
	s.isDoubted = p.doubtedAt.After(p.probedAt)
	s.isMissing = p.missedAt.After(p.openedAt) && now.Sub(p.missedAt) < missLifetime
	s.isSilent = s.isMissing && s.readAt.Before(p.missStarted)
	s.isSample = s.isMissing && !p.sampledAt.IsZero() && !p.failedSince.Before(p.sampledAt)
	if p.waiting > 0 {
		s.quietFor = now.Sub(latest(p.busySince, s.readAt))
	}
	return s
}

// probeCause is why a server is probed.
type probeCause int

const (
	// forSilence: requests wait there and get no byte.
	forSilence probeCause = iota
	// forSample: servers like it fail.
	forSample
	// forReturn: it is out of reach.
	forReturn
)

// askProbe records that a probe is asked for. A probe because of silence doubles the pause
// until the next one, unless it fails.
func (p *Path) askProbe(now time.Time, cause probeCause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probedAt = now
	switch cause {
	case forSilence:
		p.pause = min(max(2*p.pause, minSilencePause), maxSilencePause)
	case forSample:
		p.sampledAt = now
	case forReturn:
	}
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
