package overhead

import (
	"io"
	"net"
	"sync"
)

// relay copies bytes between callers and one address and looks at none of
// them: the least that any host in between can add.
type relay struct {
	listener net.Listener
	to       string
	all      sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

func startRelay(to string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &relay{listener: l, to: to}
	r.all.Add(1)
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	defer r.all.Done()
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		engine, err := net.Dial("tcp", r.to)
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

func (r *relay) copy(to, from net.Conn) {
	r.all.Add(1)
	go func() {
		defer r.all.Done()
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}()
}

// stop closes everything and waits for it.
func (r *relay) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.all.Wait()
}
