package mesh

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"briarreach/placement"
)

const (
	maxQueuedPlacements = 256
	// maxPeersToConnect bounds the peers to which connections are opened for
	// broadcasts and loans. Connections opened for loans also carry broadcasts.
	maxPeersToConnect = 96
	// connectInterval is the time between attempts to connect to peers.
	connectInterval = 250 * time.Millisecond
	// maxConcurrentDials bounds the handshakes that start at a time, which take
	// most of the processor of a small VM.
	maxConcurrentDials = 4
)

// OnPlacement sets the handler of placements that other gateways broadcast.
func (m *Mesh) OnPlacement(f func(placement.Announcement)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onPlacement = f
}

// BroadcastPlacement sends a placement to the other gateways. It never blocks:
// if the queue is full, the placement is dropped.
func (m *Mesh) BroadcastPlacement(p placement.Announcement) {
	select {
	case m.placements <- p:
	default:
	}
}

// broadcastLoop sends placements as datagrams over the dialed connections.
func (m *Mesh) broadcastLoop(ctx context.Context) {
	for {
		select {
		case p := <-m.placements:
			data, err := cbor.Marshal(p)
			if err != nil {
				m.log.WithError(err).Error("failed to encode a placement")
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
		// A lost datagram only makes a peer's load estimate less exact.
		_ = conn.SendDatagram(data)
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

// receivePlacements handles a peer's placements until its connection ends.
func (m *Mesh) receivePlacements(ctx context.Context, conn datagramReceiver) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var p placement.Announcement
		if err := cbor.Unmarshal(data, &p); err != nil {
			m.log.WithError(err).Warn("undecodable placement from a peer ignored")
			continue
		}
		m.mu.Lock()
		handle := m.onPlacement
		m.mu.Unlock()
		handle(p)
	}
}

type datagramReceiver interface {
	ReceiveDatagram(context.Context) ([]byte, error)
}
