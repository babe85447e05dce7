package mesh

import (
	"net"
	"net/netip"
)

const receiveBufferBytes = 64 << 10

func listenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", udpAddr(a))
	if err != nil {
		return nil, err
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func udpAddr(a netip.AddrPort) *net.UDPAddr { return net.UDPAddrFromAddrPort(a) }
