// Package standin has small implementations of the interfaces around a process,
// each with faults, for tests and demonstrations.
package standin

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// linkQueue bounds the packets that a link delays or holds in one direction;
	// further ones are lost, as on a full router.
	linkQueue = 16 << 10

	// linkBuffer is the requested size of the socket buffers, so that a burst is
	// not lost in the link without a fault being set.
	linkBuffer = 4 << 20

	// linkConnections bounds the connection identifiers that a link remembers.
	linkConnections = 64 << 10

	// reorderDelay holds back a reordered packet, so that later ones overtake it.
	reorderDelay = 5 * time.Millisecond
)

// LinkDirection is a direction of a Link.
type LinkDirection int

// Directions of a Link.
const (
	ToTarget LinkDirection = iota
	FromTarget
)

// LinkFault is the fault of one direction. Drop, Duplicate and Reorder are
// probabilities from 0 to 1. Delay applies to every packet, plus a random time
// up to Jitter. Hold queues all packets until it is switched off.
// DropKnownConnections drops the packets of QUIC connections that used the link
// in this direction before it was set; those of new connections pass.
// DropKnownSenders drops, in this direction, the packets from and to the
// senders (by address and port) that used the link before it was set.
type LinkFault struct {
	Drop                 float64
	Duplicate            float64
	Reorder              float64
	Delay                time.Duration
	Jitter               time.Duration
	Hold                 bool
	DropKnownConnections bool

	DropKnownSenders bool
}

// session is one sender's flow through a link.
type session struct {
	up     *net.UDPConn
	silent [2]bool // by direction: it is older than DropKnownSenders
}

// LinkStats counts packets of one direction. Bytes are those of the UDP payload
// of the packets received.
type LinkStats struct {
	Received   int
	Bytes      int
	Delivered  int
	Dropped    int
	Duplicated int
	Reordered  int
}

// Link relays UDP packets between its address and a target. Each sender is
// given a socket of its own towards the target.
type Link struct {
	target netip.AddrPort
	listen netip.AddrPort
	clock  clockwork.Clock
	random *rand.Rand

	socket  *net.UDPConn
	done    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	lanes    [2]lane
	sessions map[netip.AddrPort]*session
}

// lane is the state of one direction.
type lane struct {
	fault  LinkFault
	stats  LinkStats
	queue  packets
	order  int
	wake   chan struct{}
	seen   map[[4]byte]struct{} // connection identifiers
	silent map[[4]byte]struct{}
}

// LinkOption configures a Link.
type LinkOption func(*Link)

// WithLinkTarget sets the address that the link relays to.
func WithLinkTarget(a netip.AddrPort) LinkOption { return func(l *Link) { l.target = a } }

// WithLinkListen sets the link's own address. The default is any port of
// 127.0.0.1.
func WithLinkListen(a netip.AddrPort) LinkOption { return func(l *Link) { l.listen = a } }

// WithLinkClock sets the clock of delays.
func WithLinkClock(c clockwork.Clock) LinkOption { return func(l *Link) { l.clock = c } }

// WithLinkSeed sets the seed of the random choice of packets.
func WithLinkSeed(seed uint64) LinkOption {
	return func(l *Link) { l.random = rand.New(rand.NewPCG(seed, seed)) }
}

// NewLink opens a link without faults.
func NewLink(opts ...LinkOption) (*Link, error) {
	l := &Link{
		listen:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		clock:    clockwork.NewRealClock(),
		random:   rand.New(rand.NewPCG(1, 1)),
		done:     make(chan struct{}),
		sessions: map[netip.AddrPort]*session{},
	}
	for _, opt := range opts {
		opt(l)
	}
	var err error
	if l.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.listen)); err != nil {
		return nil, fmt.Errorf("standin.NewLink: %w", err)
	}
	enlarge(l.socket)
	for d := range l.lanes {
		l.lanes[d].wake = make(chan struct{}, 1)
		l.lanes[d].seen = map[[4]byte]struct{}{}
		l.running.Go(func() { l.deliver(&l.lanes[d]) })
	}
	l.running.Go(l.receive)
	return l, nil
}

// enlarge asks for larger buffers. The system may grant less, which costs
// packets in a burst and breaks nothing.
func enlarge(c *net.UDPConn) {
	_ = c.SetReadBuffer(linkBuffer)
	_ = c.SetWriteBuffer(linkBuffer)
}

// Addr returns the address that the link is reached at.
func (l *Link) Addr() netip.AddrPort { return l.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetFault replaces the faults of a direction.
func (l *Link) SetFault(d LinkDirection, f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lane := &l.lanes[d]
	switch {
	case f.DropKnownConnections && !lane.fault.DropKnownConnections:
		lane.silent = maps.Clone(lane.seen)
	case !f.DropKnownConnections:
		lane.silent = nil
	}
	if f.DropKnownSenders != lane.fault.DropKnownSenders {
		for _, s := range l.sessions {
			s.silent[d] = f.DropKnownSenders
		}
	}
	lane.fault = f
	lane.signal()
}

// SetFaultBothDirections replaces the faults of both directions.
func (l *Link) SetFaultBothDirections(f LinkFault) {
	l.SetFault(ToTarget, f)
	l.SetFault(FromTarget, f)
}

// Stats returns the counts of a direction.
func (l *Link) Stats(d LinkDirection) LinkStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lanes[d].stats
}

// Close closes the sockets. Packets that are delayed or held are lost.
func (l *Link) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	close(l.done)
	err := l.socket.Close()
	for _, s := range l.sessions {
		err = errors.Join(err, s.up.Close())
	}
	l.mu.Unlock()
	l.running.Wait()
	if err != nil {
		return fmt.Errorf("standin.Link.Close: %w", err)
	}
	return nil
}

// receive takes packets from senders.
func (l *Link) receive() {
	b := make([]byte, 64<<10)
	for {
		n, from, err := l.socket.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if s := l.session(from); s != nil {
			l.pass(ToTarget, s, b[:n], func(p []byte) { _, _ = s.up.Write(p) })
		}
	}
}

// session returns the session of a sender, or nil if it cannot be opened.
func (l *Link) session(from netip.AddrPort) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sessions[from]; s != nil || l.closed {
		return s
	}
	up, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.target))
	if err != nil {
		return nil
	}
	enlarge(up)
	s := &session{up: up}
	l.sessions[from] = s
	l.running.Go(func() {
		b := make([]byte, 64<<10)
		for {
			n, err := up.Read(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // the target's port is closed for now
				continue
			}
			l.pass(FromTarget, s, b[:n], func(p []byte) { _, _ = l.socket.WriteToUDPAddrPort(p, from) })
		}
	})
	return s
}

// pass applies the faults of a direction to one packet.
func (l *Link) pass(d LinkDirection, s *session, b []byte, send func([]byte)) {
	a := &l.lanes[d]
	l.mu.Lock()
	a.stats.Received++
	a.stats.Bytes += len(b)
	f := a.fault
	if s.silent[d] || a.silenced(b) || f.Drop > 0 && l.random.Float64() < f.Drop {
		a.stats.Dropped++
		l.mu.Unlock()
		return
	}
	copies := 1
	if f.Duplicate > 0 && l.random.Float64() < f.Duplicate {
		copies++
		a.stats.Duplicated++
	}
	delay := f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(l.random.Int64N(int64(f.Jitter)))
	}
	if f.Reorder > 0 && l.random.Float64() < f.Reorder {
		delay += reorderDelay
		a.stats.Reordered++
	}
	if delay == 0 && !f.Hold && len(a.queue) == 0 {
		a.stats.Delivered += copies
		l.mu.Unlock()
		for range copies {
			send(b)
		}
		return
	}
	at := l.clock.Now().Add(delay)
	for range copies {
		if len(a.queue) >= linkQueue {
			a.stats.Dropped++
			continue
		}
		a.order++
		heap.Push(&a.queue, packet{at: at, order: a.order, data: append([]byte(nil), b...), send: send})
	}
	a.signal()
	l.mu.Unlock()
}

// silenced reports whether a packet belongs to a connection that has gone
// silent. A short header starts with a byte below 0x80 and the identifier that
// the receiver chose (RFC 8999), of which quic-go uses 4 bytes. Packets of a
// handshake have a long header and pass.
func (a *lane) silenced(b []byte) bool {
	if len(b) < 5 || b[0]&0x80 != 0 {
		return false
	}
	id := [4]byte(b[1:5])
	if a.silent != nil {
		if _, ok := a.silent[id]; ok {
			return true
		}
	}
	if len(a.seen) < linkConnections {
		a.seen[id] = struct{}{}
	}
	return false
}

func (a *lane) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// deliver sends delayed packets when they are due.
func (l *Link) deliver(a *lane) {
	for {
		var due []packet
		var timer clockwork.Timer
		var wait <-chan time.Time
		l.mu.Lock()
		now := l.clock.Now()
		for !a.fault.Hold && len(a.queue) > 0 {
			if next := a.queue[0].at; next.After(now) {
				timer = l.clock.NewTimer(next.Sub(now))
				wait = timer.Chan()
				break
			}
			due = append(due, heap.Pop(&a.queue).(packet))
		}
		a.stats.Delivered += len(due)
		l.mu.Unlock()
		for _, p := range due {
			p.send(p.data)
		}
		select {
		case <-l.done:
		case <-a.wake:
		case <-wait:
		}
		if timer != nil {
			timer.Stop()
		}
		select {
		case <-l.done:
			return
		default:
		}
	}
}

// packet is delayed until at. order keeps packets of the same time in order.
type packet struct {
	at    time.Time
	order int
	data  []byte
	send  func([]byte)
}

// packets is a heap, the next packet to send first.
type packets []packet

func (q packets) Len() int { return len(q) }
func (q packets) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q packets) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a packet for container/heap.
func (q *packets) Push(p any) { *q = append(*q, p.(packet)) }

// Pop removes the last packet for container/heap.
func (q *packets) Pop() any {
	old := *q
	p := old[len(old)-1]
	old[len(old)-1] = packet{}
	*q = old[:len(old)-1]
	return p
}
