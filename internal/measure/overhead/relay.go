package overhead

import (
	"io"
	"net"
	"sync"
)

// byteRelay copies bytes between callers and one address without parsing them:
// the minimum that any host in between adds.
type byteRelay struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

func startRelay(to string) (*byteRelay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &byteRelay{listener: l, target: to}
	r.running.Add(1)
	go r.accept()
	return r, nil
}

func (r *byteRelay) address() string { return r.listener.Addr().String() }

func (r *byteRelay) accept() {
	defer r.running.Done()
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		engine, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, caller, engine)
		r.mu.Unlock()
		r.copy(caller, engine)
		r.copy(engine, caller)
	}
}

func (r *byteRelay) copy(to, from net.Conn) {
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}()
}

// stop closes the listener and all connections and waits for the copying to end.
func (r *byteRelay) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}
