package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["failback"] = caseFailback }

const (
	// coldBound is coldPerS x coldFactor + coldSlack of the small sites.
	coldBound = 26*1.5 + 5
	// machines is the number of gateways, and cutMachines that of those that are cut off: a share of 0.35.
	machines, cutMachines = 9, 3
)

// caseFailback runs nine gateways and two cold model workers. Three gateways are cut off from all other gateways, while
// they reach the store, the workers and their clients.
func caseFailback(r *run) error {
	storeAddress, err := r.serveStore("all")
	if err != nil {
		return err
	}
	r.configure(desiredState(7, true))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range 2 {
		_, err := r.startWorker(fmt.Sprintf("i-model%d", i), modelService, zones[i], "--cold-left", "60s", "--slots", "16",
			"--first-after", "20ms", "--event-every", "10ms", "--events", "2")
		if err != nil {
			return err
		}
	}
	n := &network{gateways: map[string]*process{}, cut: map[string]bool{}}
	var gateways []*process
	for i := range machines {
		peer, err := freeAddress()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("front-%d", i)
		p, err := n.front(name, peer)
		if err != nil {
			return err
		}
		g, err := r.startGateway(gatewayOptions{
			name: name, zone: zones[i%3], store: storeAddress, peer: peer, publicPeer: p,
		})
		if err != nil {
			return err
		}
		n.add(g)
		gateways = append(gateways, g)
	}
	if err := r.awaitReady(gateways...); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	stop := make(chan struct{})
	var served atomic.Int64
	for i, g := range gateways {
		clients := 5
		if i >= cutMachines {
			clients = 2
		}
		for client := range clients {
			group.Go(func() {
				time.Sleep(time.Duration(client*20+i*7) * time.Millisecond)
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					case <-time.After(90 * time.Millisecond):
					}
					a := r.once(g, request{
						method: "POST", path: fmt.Sprintf("%s%d-%d-%d", streamPath, i, client, k), key: key, deadline: 10 * time.Second,
						tokens: "1000,100", prefix: fmt.Sprintf("5c1e07a2:40,%08x:960", lastID.Load()),
					})
					if a.status == 200 {
						served.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		for i := range cutMachines {
			n.setCut(gateways[i].name)
		}
		r.note(event{"event": "cut off from all other gateways", "gateways": cutMachines})
	}
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	if served.Load() == 0 {
		return fmt.Errorf("no request was served")
	}
	arrivals := map[string][]float64{}
	for _, e := range r.find(func(e event) bool { return e["event"] == "runs" }) {
		at, _ := e["t"].(float64)
		arrivals[e.text("worker")] = append(arrivals[e.text("worker")], at)
	}
	for worker, times := range arrivals {
		sort.Float64s(times)
		most, from := 0, 0
		for to := range times {
			for times[to]-times[from] >= 1 {
				from++
			}
			most = max(most, to-from+1)
		}
		r.note(event{"event": "judged", "worker": worker, "most requests in a second": most, "bound": coldBound})
		if most > coldBound {
			r.fail("FAILBACK: cold worker %s got %d requests in one second, bound %d", worker, most, int(coldBound))
		}
	}
	return nil
}

// network is the network between the gateways: a proxy before each of them, which finds out by the local port which gateway
// a connection comes from.
type network struct {
	mu       sync.Mutex
	gateways map[string]*process
	cut      map[string]bool
	links    []*peerLink
}

// peerLink is a connection between two gateways.
type peerLink struct {
	link     *link
	from, to string
}

func (n *network) add(g *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gateways[g.name] = g
}

// setCut cuts a gateway off from all others.
func (n *network) setCut(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = true
	for _, l := range n.links {
		if l.from == name || l.to == name {
			l.link.silence()
		}
	}
}

// front listens before a gateway and returns the address.
func (n *network) front(name, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(client, name, target)
		}
	}()
	return listener.Addr().String(), nil
}

func (n *network) serve(client net.Conn, name, target string) {
	from := n.owner(client.RemoteAddr().(*net.TCPAddr).Port)
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &peerLink{link: &link{client: client, server: server}, from: from, to: name}
	n.mu.Lock()
	n.links = append(n.links, l)
	if n.cut[from] || n.cut[name] {
		l.link.silence()
	}
	n.mu.Unlock()
	p := &proxy{}
	done := make(chan struct{}, 2)
	go p.copy(l.link, client, server, true, done)
	go p.copy(l.link, server, client, false, done)
	<-done
	_ = client.Close()
	_ = server.Close()
	<-done
}

// owner returns the name of the gateway that has a socket with a local port.
func (n *network) owner(port int) string {
	inode := socketInode(port)
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, g := range n.gateways {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", g.command.Process.Pid))
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the socket that a client connected from a local port.
func socketInode(port int) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	suffix := fmt.Sprintf(":%04X", port)
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], suffix) && fields[3] != "0A" {
			return fields[9]
		}
	}
	return ""
}
