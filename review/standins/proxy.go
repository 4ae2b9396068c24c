package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards TCP connections to a target. It can drop whatever arrives on a connection, or on all of them.
type proxy struct {
	listener net.Listener
	target   string
	// inspect sees what a client sends on a connection; nil sees nothing.
	inspect func(l *link, data []byte)

	mu    sync.Mutex
	cut   bool
	links map[*link]bool
}

// link is one proxied connection.
type link struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
	// tag is set by inspect.
	tag string
}

// isSilent reports whether the link forwards nothing.
func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// silence makes the link forward nothing, while both of its connections stay open.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

func (l *link) setTag(tag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag = tag
}

func (l *link) getTag() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag
}

// newProxy listens on a free loopback port.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: map[*link]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// setCut drops everything on all connections, open and new ones, until it is called with false. Connections that were
// open meanwhile stay silent.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for l := range p.links {
			l.silence()
		}
	}
}

// open returns the open links.
func (p *proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var links []*link
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = true
	l.silent = p.cut
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(l, client, server, true, done)
	go p.copy(l, server, client, false, done)
	<-done
	_ = client.Close()
	_ = server.Close()
	<-done
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func (p *proxy) copy(l *link, from, to net.Conn, fromClient bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.isSilent() {
			if fromClient && p.inspect != nil {
				p.inspect(l, buffer[:n])
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
