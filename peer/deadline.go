package peer

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// deadline calls expire when the clock reaches the time that was set last.
// Setting a later time or none does not touch the timer, since a deadline is
// moved with every message.
type deadline struct {
	clock  clockwork.Clock
	expire func()
	clear  func() // undoes expire

	mu      sync.Mutex
	at      time.Time // zero: none
	armed   time.Time // when the timer fires; zero: not running
	timer   clockwork.Timer
	expired bool
	stopped bool
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
	d.at = at
	if at.IsZero() || !d.armed.IsZero() && !at.Before(d.armed) {
		return
	}
	d.arm()
}

func (d *deadline) arm() {
	if d.timer != nil {
		d.timer.Stop()
	}
	wait := d.at.Sub(d.clock.Now())
	if wait <= 0 {
		d.armed = time.Time{}
		d.expired = true
		d.expire()
		return
	}
	d.armed = d.at
	d.timer = d.clock.AfterFunc(wait, d.fire)
}

func (d *deadline) fire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.armed = time.Time{}
	if d.stopped || d.at.IsZero() || d.expired {
		return
	}
	d.arm()
}

func (d *deadline) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
