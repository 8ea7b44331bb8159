//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"gentiancroft/platform/platformtest"
)

// hostsKind is the kind of the objects in which hosts register.
const hostsKind = "gentiancroft-hosts"

// linkProxies carry the UDP packets between hosts, one proxy in front of each host's link address.
// The store gives a proxy's address in place of the host's own, as an address translation would.
type linkProxies struct {
	mu      sync.Mutex
	places  map[string]string          // the host's name, by link address
	proxies map[string]string          // address of the proxy, by link address
	blocked func(from, to string) bool // between which places no packet passes; nil: all pass
}

func newLinkProxies() *linkProxies {
	return &linkProxies{places: map[string]string{}, proxies: map[string]string{}}
}

// add starts the proxy of a host's link address.
func (p *linkProxies) add(link, place string) error {
	address, err := net.ResolveUDPAddr("udp", link)
	if err != nil {
		return err
	}
	l, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.places[link], p.proxies[link] = place, l.LocalAddr().String()
	p.mu.Unlock()
	go p.forward(l, address, place)
	return nil
}

// block sets between which places no packet passes, nil for none.
func (p *linkProxies) block(blocked func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
}

// passes reports whether packets pass between a link address and a place.
func (p *linkProxies) passes(from, place string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocked == nil || !p.blocked(p.places[from], place)
}

// forward passes packets on to a host, over a socket for each sender, and its answers back.
func (p *linkProxies) forward(l *net.UDPConn, to *net.UDPAddr, place string) {
	sockets := map[string]*net.UDPConn{}
	packet := make([]byte, 64<<10)
	for {
		n, from, err := l.ReadFromUDP(packet)
		if err != nil {
			return
		}
		if !p.passes(from.String(), place) {
			continue
		}
		s := sockets[from.String()]
		if s == nil {
			if s, err = net.DialUDP("udp", nil, to); err != nil {
				continue
			}
			sockets[from.String()] = s
			go func() {
				answer := make([]byte, 64<<10)
				for {
					n, err := s.Read(answer)
					if err != nil {
						return
					}
					if p.passes(from.String(), place) {
						_, _ = l.WriteToUDP(answer[:n], from)
					}
				}
			}()
		}
		_, _ = s.Write(packet[:n])
	}
}

// handler is the store, with the proxies' addresses in place of the hosts' own link addresses.
func (p *linkProxies) handler(store *platformtest.Store, kind string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		writes := q.Method == http.MethodPost || q.Method == http.MethodPut
		if writes && strings.HasPrefix(q.URL.Path, "/-/objects/"+kind) {
			b, err := io.ReadAll(q.Body)
			if err != nil {
				return
			}
			p.mu.Lock()
			for link, proxy := range p.proxies {
				b = bytes.ReplaceAll(b, []byte(`"link":`+strconv.Quote(link)), []byte(`"link":`+strconv.Quote(proxy)))
			}
			p.mu.Unlock()
			q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
		}
		store.ServeHTTP(w, q)
	})
}
