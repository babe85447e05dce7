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
	// maxLinkQueuePackets bounds the packets that a link delays or holds in one
	// direction; further ones are dropped, as by a full router.
	maxLinkQueuePackets = 16 << 10

	// linkSocketBufferBytes is the requested size of the socket buffers: without
	// a fault, the link must not lose packets of a burst.
	linkSocketBufferBytes = 4 << 20

	// maxLinkConnectionIDs bounds the connection IDs that a link remembers.
	maxLinkConnectionIDs = 64 << 10

	// reorderDelay is how long a reordered packet is held back, so that later
	// packets overtake it.
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

// session relays the packets of one sender.
type session struct {
	upstream    *net.UDPConn
	dropPackets [2]bool // by direction: the sender is older than the fault DropKnownSenders
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

// Link relays UDP packets between its address and a target. It opens a socket
// of its own towards the target for each sender.
type Link struct {
	target netip.AddrPort
	listen netip.AddrPort
	clock  clockwork.Clock
	random *rand.Rand

	socket     *net.UDPConn
	done       chan struct{}
	goroutines sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	directions [2]directionState
	sessions   map[netip.AddrPort]*session
}

// directionState holds the fault, counters and delayed packets of one direction.
type directionState struct {
	fault        LinkFault
	stats        LinkStats
	queue        packetHeap
	lastSequence int
	wake         chan struct{}
	// knownIDs are the QUIC connection IDs seen so far. droppedIDs are those whose
	// packets DropKnownConnections drops, nil if it is not set.
	knownIDs   map[[4]byte]struct{}
	droppedIDs map[[4]byte]struct{}
}

// LinkOption configures a Link.
type LinkOption func(*Link)

// WithLinkTarget sets the address that the link relays to.
func WithLinkTarget(a netip.AddrPort) LinkOption { return func(l *Link) { l.target = a } }

// WithLinkListen sets the link's own address. The default is any port of
// 127.0.0.1.
func WithLinkListen(a netip.AddrPort) LinkOption { return func(l *Link) { l.listen = a } }

// WithLinkClock sets the clock that times delays.
func WithLinkClock(c clockwork.Clock) LinkOption { return func(l *Link) { l.clock = c } }

// WithLinkSeed sets the seed of the random choice of the packets that faults
// affect.
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
	enlargeSocketBuffers(l.socket)
	for d := range l.directions {
		l.directions[d].wake = make(chan struct{}, 1)
		l.directions[d].knownIDs = map[[4]byte]struct{}{}
		l.goroutines.Go(func() { l.deliver(&l.directions[d]) })
	}
	l.goroutines.Go(l.receive)
	return l, nil
}

// enlargeSocketBuffers asks for larger buffers. The system may grant less; then
// the link may lose packets of a burst.
func enlargeSocketBuffers(c *net.UDPConn) {
	_ = c.SetReadBuffer(linkSocketBufferBytes)
	_ = c.SetWriteBuffer(linkSocketBufferBytes)
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() netip.AddrPort { return l.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetFault replaces the faults of a direction.
func (l *Link) SetFault(d LinkDirection, f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := &l.directions[d]
	switch {
	case f.DropKnownConnections && !state.fault.DropKnownConnections:
		state.droppedIDs = maps.Clone(state.knownIDs)
	case !f.DropKnownConnections:
		state.droppedIDs = nil
	}
	if f.DropKnownSenders != state.fault.DropKnownSenders {
		for _, s := range l.sessions {
			s.dropPackets[d] = f.DropKnownSenders
		}
	}
	state.fault = f
	state.wakeDelivery()
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
	return l.directions[d].stats
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
		err = errors.Join(err, s.upstream.Close())
	}
	l.mu.Unlock()
	l.goroutines.Wait()
	if err != nil {
		return fmt.Errorf("standin.Link.Close: %w", err)
	}
	return nil
}

// receive relays the packets of all senders to the target.
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
			l.forward(ToTarget, s, b[:n], func(p []byte) { _, _ = s.upstream.Write(p) })
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
	upstream, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.target))
	if err != nil {
		return nil
	}
	enlargeSocketBuffers(upstream)
	s := &session{upstream: upstream}
	l.sessions[from] = s
	l.goroutines.Go(func() {
		b := make([]byte, 64<<10)
		for {
			n, err := upstream.Read(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // the target's port is closed for now
				continue
			}
			l.forward(FromTarget, s, b[:n], func(p []byte) { _, _ = l.socket.WriteToUDPAddrPort(p, from) })
		}
	})
	return s
}

// forward applies the faults of a direction to one packet.
func (l *Link) forward(d LinkDirection, s *session, b []byte, send func([]byte)) {
	state := &l.directions[d]
	l.mu.Lock()
	state.stats.Received++
	state.stats.Bytes += len(b)
	f := state.fault
	if s.dropPackets[d] || state.dropsConnection(b) || f.Drop > 0 && l.random.Float64() < f.Drop {
		state.stats.Dropped++
		l.mu.Unlock()
		return
	}
	copies := 1
	if f.Duplicate > 0 && l.random.Float64() < f.Duplicate {
		copies++
		state.stats.Duplicated++
	}
	delay := f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(l.random.Int64N(int64(f.Jitter)))
	}
	if f.Reorder > 0 && l.random.Float64() < f.Reorder {
		delay += reorderDelay
		state.stats.Reordered++
	}
	if delay == 0 && !f.Hold && len(state.queue) == 0 {
		state.stats.Delivered += copies
		l.mu.Unlock()
		for range copies {
			send(b)
		}
		return
	}
	at := l.clock.Now().Add(delay)
	for range copies {
		if len(state.queue) >= maxLinkQueuePackets {
			state.stats.Dropped++
			continue
		}
		state.lastSequence++
		heap.Push(&state.queue, packet{dueAt: at, sequence: state.lastSequence, data: append([]byte(nil), b...), send: send})
	}
	state.wakeDelivery()
	l.mu.Unlock()
}

// dropsConnection reports whether a packet belongs to a connection that
// DropKnownConnections drops, and remembers the connection ID otherwise. A short
// header is a byte below 0x80 and then the connection ID that the receiver chose
// (RFC 8999), which has 4 bytes with quic-go. Handshake packets have a long
// header and pass.
func (state *directionState) dropsConnection(b []byte) bool {
	if len(b) < 5 || b[0]&0x80 != 0 {
		return false
	}
	id := [4]byte(b[1:5])
	if state.droppedIDs != nil {
		if _, ok := state.droppedIDs[id]; ok {
			return true
		}
	}
	if len(state.knownIDs) < maxLinkConnectionIDs {
		state.knownIDs[id] = struct{}{}
	}
	return false
}

func (state *directionState) wakeDelivery() {
	select {
	case state.wake <- struct{}{}:
	default:
	}
}

// deliver sends delayed packets when they are due.
func (l *Link) deliver(state *directionState) {
	for {
		var due []packet
		var timer clockwork.Timer
		var wait <-chan time.Time
		l.mu.Lock()
		now := l.clock.Now()
		for !state.fault.Hold && len(state.queue) > 0 {
			if next := state.queue[0].dueAt; next.After(now) {
				timer = l.clock.NewTimer(next.Sub(now))
				wait = timer.Chan()
				break
			}
			due = append(due, heap.Pop(&state.queue).(packet))
		}
		state.stats.Delivered += len(due)
		l.mu.Unlock()
		for _, p := range due {
			p.send(p.data)
		}
		select {
		case <-l.done:
		case <-state.wake:
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

// packet is delayed until dueAt. Packets that are due at the same time are sent
// by ascending sequence.
type packet struct {
	dueAt    time.Time
	sequence int
	data     []byte
	send     func([]byte)
}

// packetHeap is a heap with the next packet to send first.
type packetHeap []packet

func (q packetHeap) Len() int { return len(q) }
func (q packetHeap) Less(i, j int) bool {
	if !q[i].dueAt.Equal(q[j].dueAt) {
		return q[i].dueAt.Before(q[j].dueAt)
	}
	return q[i].sequence < q[j].sequence
}
func (q packetHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a packet for container/heap.
func (q *packetHeap) Push(p any) { *q = append(*q, p.(packet)) }

// Pop removes the last packet for container/heap.
func (q *packetHeap) Pop() any {
	old := *q
	p := old[len(old)-1]
	old[len(old)-1] = packet{}
	*q = old[:len(old)-1]
	return p
}
