//go:build review

package main

import (
	"io"
	"net"
	"sync"

	"gentiancroft/platform/platformtest"
)

// doorway is the address at which a stand-in of a replica is registered. Closing it ends the replica
// as far as others see: nothing listens any more, and its connections are reset.
type doorway struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open []net.Conn
}

func newDoorway(target string) (*doorway, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	d := &doorway{listener: l, target: target}
	go d.accept()
	return d, nil
}

func (d *doorway) address() string { return d.listener.Addr().String() }

func (d *doorway) accept() {
	for {
		near, err := d.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", d.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		d.mu.Lock()
		d.open = append(d.open, near, far)
		d.mu.Unlock()
		go pass(near, far)
		go pass(far, near)
	}
}

func pass(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// close ends the replica.
func (d *doorway) close() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// throughDoorway registers a replica at the address of a doorway in front of it.
func (s *scene) throughDoorway(x *platformtest.Replica) (*doorway, error) {
	var stored struct {
		Spec map[string]any `json:"spec"`
	}
	if err := s.stored("servers/"+x.ID, &stored); err != nil {
		return nil, err
	}
	address, _ := stored.Spec["address"].(string)
	d, err := newDoorway(address)
	if err != nil {
		return nil, err
	}
	stored.Spec["address"], stored.Spec["sequence"] = d.address(), 2
	s.store.Put("servers", x.ID, stored.Spec)
	return d, nil
}
