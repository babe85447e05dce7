package peer

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// deadline calls expire when the clock reaches the time that was set last. A
// stream moves its deadlines with every message, so setting a later time or
// none leaves the timer as it is.
type deadline struct {
	clock  clockwork.Clock
	expire func()
	clear  func() // undoes expire

	mu        sync.Mutex
	expiresAt time.Time // zero: none
	timerAt   time.Time // when the timer fires; zero: not running
	timer     clockwork.Timer
	expired   bool
	stopped   bool
}

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	if d.expired {
		d.expired = false
		d.clear()
	}
	d.expiresAt = at
	if at.IsZero() || !d.timerAt.IsZero() && !at.Before(d.timerAt) {
		return
	}
	d.startTimer()
}

func (d *deadline) startTimer() {
	if d.timer != nil {
		d.timer.Stop()
	}
	wait := d.expiresAt.Sub(d.clock.Now())
	if wait <= 0 {
		d.timerAt = time.Time{}
		d.expired = true
		d.expire()
		return
	}
	d.timerAt = d.expiresAt
	d.timer = d.clock.AfterFunc(wait, d.timerFired)
}

func (d *deadline) timerFired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerAt = time.Time{}
	if d.stopped || d.expiresAt.IsZero() || d.expired {
		return
	}
	d.startTimer()
}

func (d *deadline) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
