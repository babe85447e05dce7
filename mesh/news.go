package mesh

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"briarreach/placement"
)

const (
	// maxNews bounds the placements that wait to be sent.
	maxNews = 256
	// maxTold bounds the peers that are told of a placement.
	maxTold = 48
	// connectPause is left between attempts to connect to peers.
	connectPause = 500 * time.Millisecond
)

// OnPlacement sets what takes the placements of other gateways.
func (m *Mesh) OnPlacement(f func(placement.Placed)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told = f
}

// BroadcastPlacement sends a placement to the other gateways. It never blocks; news that can't
// be sent are lost.
func (m *Mesh) BroadcastPlacement(p placement.Placed) {
	select {
	case m.news <- p:
	default:
	}
}

// spread sends placements as datagrams over the connections that there are,
// and opens those that are missing from time to time.
func (m *Mesh) spread(ctx context.Context) {
	var connected time.Time
	for {
		select {
		case p := <-m.news:
			data, err := cbor.Marshal(p)
			if err != nil {
				m.log.WithError(err).Error("placement not told")
				continue
			}
			m.send(data)
			if now := m.clock.Now(); now.Sub(connected) >= connectPause {
				connected = now
				m.connectAll(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mesh) send(data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, conn := range m.conns {
		// A datagram that is lost costs one estimate.
		_ = conn.SendDatagram(data)
	}
}

// connectAll opens the missing connections without waiting for them.
func (m *Mesh) connectAll(ctx context.Context) {
	now := m.clock.Now()
	for i, peer := range m.books.Peers() {
		if i >= maxTold {
			return
		}
		if m.connected(peer.Fingerprint) != nil || m.isSilent(peer.Fingerprint, now) {
			continue
		}
		m.done.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if _, err := m.connect(ctx, peer); err != nil {
				m.drop(peer.Fingerprint, now)
			}
		})
	}
}

// receive takes a peer's placements until its connection ends.
func (m *Mesh) receive(ctx context.Context, conn datagrams) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var p placement.Placed
		if err := cbor.Unmarshal(data, &p); err != nil {
			m.log.WithError(err).Warn("placement of a peer ignored")
			continue
		}
		m.mu.Lock()
		told := m.told
		m.mu.Unlock()
		told(p)
	}
}

type datagrams interface {
	ReceiveDatagram(context.Context) ([]byte, error)
}
