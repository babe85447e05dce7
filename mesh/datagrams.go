package mesh

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"briarreach/placement"
	"briarreach/quarantine"
	"briarreach/quota"
	"briarreach/replicalimit"
	"briarreach/replicanotice"
	"briarreach/replicaspeed"
)

const (
	maxQueuedDatagrams = 256
	// maxPeersToConnect bounds the peers to which connections are opened for
	// broadcasts and loans. Connections opened for loans also carry broadcasts.
	maxPeersToConnect = 96
	// connectInterval is the time between attempts to connect to peers.
	connectInterval = 250 * time.Millisecond
	// maxConcurrentDials bounds the handshakes that start at a time, which take
	// most of the processor of a small VM.
	maxConcurrentDials = 4
)

// datagram is a message to all peers: a placement, evidence about prompt parts that
// crash replicas, the limit of a replica, a holder's grants, a replica that leaves, or
// what a gateway has seen of the speeds of replicas.
// Earlier versions know the fields of a placement only.
type datagram struct {
	placement.Announcement
	Crash   *quarantine.Crash      `cbor:"4,keyasint,omitempty"`
	Answer  *quarantine.Answer     `cbor:"5,keyasint,omitempty"`
	Limit   *replicalimit.Notice   `cbor:"6,keyasint,omitempty"`
	Grants  *quota.GrantNotice     `cbor:"7,keyasint,omitempty"`
	Leaving *replicanotice.Leaving `cbor:"8,keyasint,omitempty"`
	Speeds  *replicaspeed.Message  `cbor:"9,keyasint,omitempty"`
}

// evidence returns the evidence in a datagram, or nil for another message.
func (d datagram) evidence() quarantine.Evidence {
	switch {
	case d.Crash != nil:
		return *d.Crash
	case d.Answer != nil:
		return *d.Answer
	default:
		return nil
	}
}

// OnPlacement sets the handler of placements that other gateways broadcast.
func (m *Mesh) OnPlacement(f func(placement.Announcement)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onPlacement = f
}

// OnEvidence sets the handler of evidence that other gateways broadcast.
func (m *Mesh) OnEvidence(f func(quarantine.Evidence)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onEvidence = f
}

// OnLimit sets the handler of limits that other gateways broadcast.
func (m *Mesh) OnLimit(f func(replicalimit.Notice)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onLimit = f
}

// OnGrants sets the handler of grants that other gateways broadcast.
func (m *Mesh) OnGrants(f func(quota.GrantNotice)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onGrants = f
}

// BroadcastGrants sends what this gateway was granted to the others. It never
// blocks: if the queue is full, the notice is dropped.
func (m *Mesh) BroadcastGrants(n quota.GrantNotice) { m.broadcast(datagram{Grants: &n}) }

// OnLeaving sets the handler of replicas that leave, as other gateways broadcast.
func (m *Mesh) OnLeaving(f func(replicanotice.Leaving)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onLeaving = f
}

// BroadcastLeaving tells the other gateways that a replica leaves. It never blocks:
// if the queue is full, the notice is dropped.
func (m *Mesh) BroadcastLeaving(l replicanotice.Leaving) { m.broadcast(datagram{Leaving: &l}) }

// OnSpeeds sets the handler of what other gateways have seen of the speeds of replicas.
func (m *Mesh) OnSpeeds(f func(replicaspeed.Message)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onSpeeds = f
}

// BroadcastSpeeds sends what this gateway has seen of the speeds of replicas to the
// others. It never blocks: if the queue is full, the message is dropped.
func (m *Mesh) BroadcastSpeeds(s replicaspeed.Message) { m.broadcast(datagram{Speeds: &s}) }

// BroadcastLimit sends a replica's limit to the other gateways. It never blocks: if
// the queue is full, the limit is dropped.
func (m *Mesh) BroadcastLimit(n replicalimit.Notice) { m.broadcast(datagram{Limit: &n}) }

// BroadcastPlacement sends a placement to the other gateways. It never blocks:
// if the queue is full, the placement is dropped.
func (m *Mesh) BroadcastPlacement(p placement.Announcement) {
	m.broadcast(datagram{Announcement: p})
}

// BroadcastEvidence sends evidence to the other gateways. It never blocks: if the
// queue is full, the evidence is dropped.
func (m *Mesh) BroadcastEvidence(e quarantine.Evidence) {
	switch e := e.(type) {
	case quarantine.Crash:
		m.broadcast(datagram{Crash: &e})
	case quarantine.Answer:
		m.broadcast(datagram{Answer: &e})
	}
}

func (m *Mesh) broadcast(d datagram) {
	select {
	case m.datagrams <- d:
	default:
	}
}

// broadcastLoop sends datagrams over the dialed connections.
func (m *Mesh) broadcastLoop(ctx context.Context) {
	for {
		select {
		case d := <-m.datagrams:
			data, err := cbor.Marshal(d)
			if err != nil {
				m.log.WithError(err).Error("failed to encode a datagram")
				continue
			}
			m.sendToPeers(data)
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mesh) sendToPeers(data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, conn := range m.conns {
		// A lost placement only makes a peer's load estimate less exact, and lost
		// evidence lets it count fewer crashes.
		_ = conn.SendDatagram(data)
	}
}

// announceGrants tells a new peer of the grants that this gateway has, as it may not
// have been connected when they were drawn.
func (m *Mesh) announceGrants(conn *quic.Conn) {
	for _, n := range m.allocators.GrantNotices() {
		data, err := cbor.Marshal(datagram{Grants: &n})
		if err != nil {
			m.log.WithError(err).Error("failed to encode a datagram")
			return
		}
		_ = conn.SendDatagram(data) // a lost one is announced with the next change
	}
}

// connectLoop opens missing connections, so that a request that needs a loan
// does not wait for a handshake.
func (m *Mesh) connectLoop(ctx context.Context) {
	for {
		select {
		case <-m.clock.After(connectInterval):
			m.connectPeers(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// connectPeers starts to open up to maxConcurrentDials of the missing connections
// to the first maxPeersToConnect peers.
func (m *Mesh) connectPeers(ctx context.Context) {
	now := m.clock.Now()
	dials := 0
	for i, peer := range m.allocators.Peers() {
		if i >= maxPeersToConnect || dials >= maxConcurrentDials {
			return
		}
		if m.existingConn(peer.Fingerprint) != nil || m.inBackoff(peer.Fingerprint, now) {
			continue
		}
		dials++
		m.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			if _, err := m.connect(ctx, peer); err != nil {
				m.backOff(peer.Fingerprint, now)
			}
		})
	}
}

// receiveDatagrams handles a peer's datagrams until its connection ends.
func (m *Mesh) receiveDatagrams(ctx context.Context, conn datagramReceiver) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var d datagram
		if err := cbor.Unmarshal(data, &d); err != nil {
			m.log.WithError(err).Warn("undecodable datagram from a peer ignored")
			continue
		}
		m.mu.Lock()
		onPlacement, onEvidence, onLimit, onGrants, onLeaving, onSpeeds := m.onPlacement, m.onEvidence, m.onLimit, m.onGrants, m.onLeaving, m.onSpeeds
		m.mu.Unlock()
		if e := d.evidence(); e != nil {
			onEvidence(e)
		} else if d.Limit != nil {
			onLimit(*d.Limit)
		} else if d.Grants != nil {
			onGrants(*d.Grants)
		} else if d.Leaving != nil {
			onLeaving(*d.Leaving)
		} else if d.Speeds != nil {
			onSpeeds(*d.Speeds)
		} else {
			onPlacement(d.Announcement)
		}
	}
}

type datagramReceiver interface {
	ReceiveDatagram(context.Context) ([]byte, error)
}
