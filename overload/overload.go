// Package overload decides when a gateway takes no new connections because its own
// VM is short of network or processor time.
//
// Load pattern: the platform's balancer spreads connections by a hash of the
// client, so that a weak VM can get several times its share. On a saturated link
// requests wait in front of the gateway, connections to replicas time out, and
// callers come again, which saturates it further, while other gateways of the
// failure domain are idle. A gateway that is above a share of its capacity says
// that it is not ready, and closes a part of its connections after their responses
// once the balancer has noticed; the callers reconnect to other gateways. Usage is
// measured, not the time that work waits: a VM whose processor runs in short bursts
// makes work wait in calm, too. The specs "a link that is saturated" and "a burst"
// replay it.
package overload

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Settings are the shares of the capacity at which a gateway changes its state.
type Settings struct {
	NotReadyAbove float64       // smoothed usage above which the gateway takes no new connections; 0 disables the package
	ReadyBelow    float64       // smoothed usage below which it takes them again
	CloseAbove    float64       // smoothed usage above which connections are closed while it takes no new ones
	Smoothing     time.Duration // time constant of the usage
	MinHold       time.Duration // shortest time without new connections; doubles if the next overload follows within MaxHold
	MaxHold       time.Duration
}

// Defaults returns the default settings, with which no overload begins. Requests of
// 10 to 50 KB on a link of 10 Mbit/s wait for some 40 ms at 0.75 of its rate, a third
// of the shortest target latencies, and beyond a target latency at 0.9. The marks are
// above what control work takes of a weak VM's processor: the balancer uses all
// gateways of a failure domain if more than half of them are not ready.
func Defaults() Settings {
	return Settings{ReadyBelow: 0.4, CloseAbove: 0.7, Smoothing: 500 * time.Millisecond, MinHold: 10 * time.Second, MaxHold: time.Minute}
}

// Capacity is what the VM has. A field that is 0 is not known and not considered.
type Capacity struct {
	LinkBytesPerSecond float64 // in each direction
	Processors         float64
}

// Usage holds totals since the start of the process.
type Usage struct {
	ReceivedBytes, SentBytes int64
	ProcessorTime            time.Duration
}

// Meter counts bytes. It is safe for concurrent use.
type Meter struct{ received, sent atomic.Int64 }

// AddReceived counts received bytes.
func (m *Meter) AddReceived(n int) { m.received.Add(int64(n)) }

// AddSent counts sent bytes.
func (m *Meter) AddSent(n int) { m.sent.Add(int64(n)) }

// Totals returns the received and the sent bytes.
func (m *Meter) Totals() (received, sent int64) { return m.received.Load(), m.sent.Load() }

// Shares are smoothed shares of the capacity in use.
type Shares struct{ Received, Sent, Processor float64 }

// processorWeight makes the marks of the processor higher than those of the link: 0.75
// of the link is 0.94 of the processor. Control work alone takes a large part of a weak
// VM's processor, and if more than half of the gateways of a failure domain are not
// ready, the balancer uses all of them.
const processorWeight = 0.8

// highest returns the share of what is most in use.
func (s Shares) highest() float64 { return max(s.Received, s.Sent, processorWeight*s.Processor) }

// noticeChecks is the number of failed readiness checks after which the balancer
// directs new connections elsewhere.
const noticeChecks = 2

// Monitor follows the usage of a gateway. It is safe for concurrent use.
type Monitor struct {
	settings Settings
	capacity Capacity

	mu           sync.Mutex
	last         Usage
	lastAt       time.Time
	shares       Shares
	overloaded   bool
	failedChecks int           // readiness checks that failed in this overload
	changedAt    time.Time     // begin of the overload, or end of the last one
	hold         time.Duration // shortest duration of this or the last overload
}

// New returns a monitor of a gateway that is not overloaded.
func New(s Settings, c Capacity) *Monitor { return &Monitor{settings: s, capacity: c} }

// Observe takes the usage at a time. It reports whether the gateway has become
// overloaded, or has ceased to be.
func (m *Monitor) Observe(u Usage, now time.Time) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.lastAt).Seconds()
	if m.lastAt.IsZero() || elapsed <= 0 {
		m.last, m.lastAt = u, now
		return false
	}
	weight := 1 - math.Exp(-elapsed/m.settings.Smoothing.Seconds())
	smooth := func(share *float64, used, capacity float64) {
		if capacity > 0 {
			*share += weight * (used/(capacity*elapsed) - *share)
		}
	}
	smooth(&m.shares.Received, float64(u.ReceivedBytes-m.last.ReceivedBytes), m.capacity.LinkBytesPerSecond)
	smooth(&m.shares.Sent, float64(u.SentBytes-m.last.SentBytes), m.capacity.LinkBytesPerSecond)
	smooth(&m.shares.Processor, (u.ProcessorTime - m.last.ProcessorTime).Seconds(), m.capacity.Processors)
	m.last, m.lastAt = u, now
	used := m.shares.highest()
	switch {
	case m.settings.NotReadyAbove <= 0:
		return false
	case !m.overloaded && used > m.settings.NotReadyAbove:
		m.begin(now)
	case m.overloaded && used < m.settings.ReadyBelow && now.Sub(m.changedAt) >= m.hold:
		m.overloaded, m.changedAt = false, now
	default:
		return false
	}
	return true
}

// begin begins an overload. The balancer sends the same clients back as soon as the
// gateway is ready: one that is overloaded again soon waits longer.
func (m *Monitor) begin(now time.Time) {
	if m.hold == 0 || now.Sub(m.changedAt) > m.settings.MaxHold {
		m.hold = m.settings.MinHold
	} else {
		m.hold = min(2*m.hold, m.settings.MaxHold)
	}
	m.overloaded, m.failedChecks, m.changedAt = true, 0, now
}

// CheckReady reports, for one readiness check, whether the gateway takes new
// connections.
func (m *Monitor) CheckReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.overloaded {
		m.failedChecks++
	}
	return !m.overloaded
}

// ClosesConnection reports whether a connection is closed after its response.
// Spread, from 0 to 1, is random.
func (m *Monitor) ClosesConnection(spread float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := m.shares.highest()
	return m.overloaded && m.failedChecks >= noticeChecks && used > m.settings.CloseAbove &&
		spread < (used-m.settings.CloseAbove)/used
}

// Overloaded reports whether the gateway is overloaded.
func (m *Monitor) Overloaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overloaded
}

// State returns the smoothed usage and whether the gateway is overloaded.
func (m *Monitor) State() (Shares, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shares, m.overloaded
}
