package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	hostsTopic = "keyed.hosts"
	peersPort  = ":7720"
	holdCheck  = time.Millisecond
)

type pair struct{ from, to string }

// links are the paths between the entry hosts. Each host sees addresses of proxies for the
// others.
type links struct {
	mu sync.Mutex
	// cut holds the directions in which nothing passes.
	cut map[pair]bool
	// addrs are the proxies by the host that dials and the host that is dialled.
	addrs map[pair]string
	conns map[net.Conn]pair
}

func newLinks() *links {
	return &links{cut: map[pair]bool{}, addrs: map[pair]string{}, conns: map[net.Conn]pair{}}
}

func (l *links) isCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[pair{from, to}]
}

// set cuts or heals one direction.
func (l *links) set(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[pair{from, to}] = cut
}

// reset resets the connections between two hosts.
func (l *links) reset(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, p := range l.conns {
		if p == (pair{a, b}) || p == (pair{b, a}) {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// open starts the proxy by which one host dials another.
func (l *links) open(from, to *entryHost) error {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	l.addrs[pair{from.name, to.name}] = listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c, from, to)
		}
	}()
	return nil
}

func (l *links) add(c net.Conn, p pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = p
}

func (l *links) drop(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *links) carry(c net.Conn, from, to *entryHost) {
	l.add(c, pair{from.name, to.name})
	defer l.drop(c)
	for range 5000 {
		if !l.isCut(from.name, to.name) && !l.isCut(to.name, from.name) {
			break
		}
		time.Sleep(holdCheck)
	}
	dialer := net.Dialer{Timeout: 300 * time.Millisecond}
	target, err := dialer.DialContext(context.Background(), "tcp", to.ip+peersPort)
	if err != nil {
		return
	}
	l.add(target, pair{from.name, to.name})
	defer l.drop(target)
	done := make(chan struct{}, 2)
	go l.pump(c, target, from.name, to.name, done)
	go l.pump(target, c, to.name, from.name, done)
	<-done
	// The end of one direction is passed on; the other side ends the connection.
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// pump carries bytes in one direction. While it is cut, bytes and ends wait.
func (l *links) pump(src, dst net.Conn, from, to string, done chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		for l.isCut(from, to) {
			time.Sleep(holdCheck)
		}
		if n > 0 {
			if _, werr := dst.Write(buffer[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	done <- struct{}{}
}

// rewrite replaces the address in an entry of a host, for its reader.
func (l *links) rewrite(reader string, value []byte) []byte {
	var entry map[string]any
	if len(value) == 0 || json.Unmarshal(value, &entry) != nil {
		return value
	}
	for _, key := range []string{"Name", "name"} {
		name, ok := entry[key].(string)
		if !ok {
			continue
		}
		l.mu.Lock()
		addr, ok := l.addrs[pair{reader, name}]
		l.mu.Unlock()
		if ok {
			for _, field := range []string{"Address", "address"} {
				if _, has := entry[field]; has {
					entry[field] = addr
				}
			}
			return encode(entry)
		}
	}
	return value
}

// readHosts serves reads of the hosts' entries with the addresses of the proxies.
func (l *links) readHosts(reader string, next http.Handler, rw http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	next.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	if recorder.Code == http.StatusOK && r.URL.Path == "/-/log-newest" {
		var page map[string]any
		if json.Unmarshal(body, &page) == nil {
			items, _ := page["items"].([]any)
			for _, item := range items {
				entry, _ := item.(map[string]any)
				text, _ := entry["value"].(string)
				if value, err := base64.StdEncoding.DecodeString(text); err == nil {
					entry["value"] = base64.StdEncoding.EncodeToString(l.rewrite(reader, value))
				}
			}
			body = encode(page)
		}
	}
	if recorder.Code == http.StatusOK && r.URL.Path == "/-/log-read" && len(body) >= 16 {
		out := append([]byte(nil), body[:16]...)
		for rest := body[16:]; len(rest) >= 5; {
			size, key := int(binary.BigEndian.Uint32(rest)), int(rest[4])
			value := l.rewrite(reader, rest[5+key:4+size])
			out = binary.BigEndian.AppendUint32(out, uint32(1+key+len(value)))
			out = append(append(out, rest[4:5+key]...), value...)
			rest = rest[4+size:]
		}
		body = out
	}
	rw.WriteHeader(recorder.Code)
	_, _ = io.Writer(rw).Write(body)
}

// cutHosts cuts hosts off from all others for a while. OneWay lets what they receive pass.
func (w *world) cutHosts(hosts []*entryHost, d time.Duration, oneWay, reset bool) {
	inside := map[string]bool{}
	for _, h := range hosts {
		inside[h.name] = true
		w.record("host %s cut off for %v, one way %v, reset %v", h.name, d.Round(time.Millisecond), oneWay, reset)
	}
	change := func(cut bool) {
		for _, a := range w.hosts {
			for _, b := range w.hosts {
				if !inside[a.name] || inside[b.name] {
					continue
				}
				w.links.set(a.name, b.name, cut)
				if !oneWay {
					w.links.set(b.name, a.name, cut)
				}
				if cut && reset {
					w.links.reset(a.name, b.name)
				}
			}
		}
	}
	change(true)
	time.Sleep(d)
	change(false)
	w.record("hosts are not cut off any more")
}
