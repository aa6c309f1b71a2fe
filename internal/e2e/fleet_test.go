//go:build e2e

package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/settings"
	"github.com/parsleyhill/parsleyhill/internal/standin"
)

const (
	pollInterval = 20 * time.Millisecond
	pollLimit    = 20 * time.Second
)

var zoneNames = []string{"westlands", "embakasi", "karen"}

// entryHost is one parsleyhilld process with its addresses and files.
type entryHost struct {
	name      string
	zone      string
	callers   string
	operators string
	settings  string
	log       string
	cmd       *exec.Cmd
}

// fleet is a deployment of separate processes.
type fleet struct {
	t        *testing.T
	dir      string
	bin      string
	platform string
	hosts    []platform.Host
	entries  []*entryHost
}

// newFleet builds the programs, starts the stand-ins and the entry hosts, and
// waits until all entry hosts are ready.
func newFleet(t *testing.T, entriesPerZone, backendsPerZone, workersPerZone int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), bin: filepath.Join(t.TempDir(), "bin")}
	build := exec.Command("go", "build", "-o", f.bin+string(filepath.Separator), "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	f.platform = freeAddress(t)
	f.createHosts(entriesPerZone, backendsPerZone, workersPerZone)
	f.startStandins()
	for _, e := range f.entries {
		f.start(e)
	}
	for _, e := range f.entries {
		f.waitReady(e)
	}
	return f
}

func (f *fleet) createHosts(entries, backends, workers int) {
	for _, zone := range zoneNames {
		for i := range entries {
			name := fmt.Sprintf("entry-%s-%d", zone, i+1)
			h := platform.Host{Name: name, Role: platform.RoleEntry, Zone: zone, Address: freeAddress(f.t), State: platform.HostLive}
			f.hosts = append(f.hosts, h)
			f.entries = append(f.entries, &entryHost{
				name: name, zone: zone, callers: freeAddress(f.t), operators: freeAddress(f.t),
				settings: filepath.Join(f.dir, name+".json"), log: filepath.Join(f.dir, name+".log"),
			})
		}
		for i := range backends {
			f.hosts = append(f.hosts, platform.Host{
				Name: fmt.Sprintf("backend-%s-%d", zone, i+1), Role: platform.RoleBackend, Zone: zone,
				Address: freeAddress(f.t), State: platform.HostLive, Customer: "tamarind", Slots: 8,
			})
		}
		for i := range workers {
			f.hosts = append(f.hosts, platform.Host{
				Name: fmt.Sprintf("worker-%s-%d", zone, i+1), Role: platform.RoleWorker, Zone: zone,
				Rack: "rack-" + zone, Address: freeAddress(f.t), State: platform.HostLive, Cores: 32, MemoryMB: 128 << 10,
			})
		}
	}
}

func (f *fleet) startStandins() {
	path := filepath.Join(f.dir, "site.json")
	f.writeJSON(path, standin.Site{Platform: f.platform, Hosts: f.hosts, Links: true})
	f.run(filepath.Join(f.dir, "standin.log"), "standin", "-site", path)
	f.poll("the stand-ins respond", func() bool {
		_, err := get(f.platformURL() + "/v1/hosts")
		return err == nil
	})
	var byZone map[string]string
	data, err := get(f.platformURL() + "/v1/zones")
	require.NoError(f.t, err)
	require.NoError(f.t, json.Unmarshal(data, &byZone))
	peerAddress := map[string]string{}
	for _, h := range f.hosts {
		peerAddress[h.Name] = h.Address
	}
	for _, e := range f.entries {
		base := "http://" + byZone[e.zone] + "/zones/" + e.zone
		f.writeJSON(e.settings, settings.Settings{
			Host: e.name, Region: "nairobi", Zone: e.zone,
			Listen:   settings.Listen{Callers: e.callers, Operators: e.operators, Peers: peerAddress[e.name]},
			Platform: settings.Platform{Log: base, HostList: base, PollMs: 250},
			Seeds:    f.seeds(e, peerAddress),
			Limits:   settings.Limits{BodyBytes: 1 << 20, JobBytes: 8 << 20, TasksPerJob: 670},
			Stop:     settings.Stop{DrainMs: 300, GraceMs: 10_000},
			Log:      settings.Log{Level: "info", Format: "text"},
		})
	}
}

// seeds returns the peer addresses of the other entry hosts in the same zone.
func (f *fleet) seeds(e *entryHost, peerAddress map[string]string) []string {
	var seeds []string
	for _, other := range f.entries {
		if other != e && other.zone == e.zone {
			seeds = append(seeds, peerAddress[other.name])
		}
	}
	return seeds
}

// run starts one of the built programs and kills it at the end of the test.
func (f *fleet) run(logPath, program string, args ...string) *exec.Cmd {
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(f.t, cmd.Start())
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = out.Close()
	})
	return cmd
}

// start starts an entry host without any state of an earlier process.
func (f *fleet) start(e *entryHost) {
	e.cmd = f.run(e.log, "parsleyhilld", "-settings", e.settings)
}

// replace kills an entry host, starts it again without its earlier state, and
// waits until it is ready.
func (f *fleet) replace(e *entryHost) {
	f.kill(e)
	f.start(e)
	f.waitReady(e)
}

func (f *fleet) kill(e *entryHost) {
	require.NoError(f.t, e.cmd.Process.Kill())
	_ = e.cmd.Wait()
}

func (f *fleet) signal(e *entryHost, s syscall.Signal) {
	require.NoError(f.t, e.cmd.Process.Signal(s))
}

func (f *fleet) waitReady(e *entryHost) {
	f.poll(e.name+" is ready", func() bool {
		_, err := get("http://" + e.callers + "/v1/ready")
		return err == nil
	})
}

// poll waits until cond holds and fails the test after pollLimit.
func (f *fleet) poll(description string, cond func() bool) {
	f.t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	limit := time.After(pollLimit)
	for !cond() {
		select {
		case <-ticker.C:
		case <-limit:
			require.Fail(f.t, "timed out", "%s", description)
		}
	}
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (f *fleet) platformURL() string { return "http://" + f.platform }

func (f *fleet) writeJSON(path string, v any) {
	data, err := json.Marshal(v)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(path, data, 0o600))
}

// post sends a document, such as a set of faults, to a stand-in.
func (f *fleet) post(url string, v any) {
	f.t.Helper()
	data, err := json.Marshal(v)
	require.NoError(f.t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	require.NoError(f.t, err)
	defer resp.Body.Close()
	require.Equal(f.t, http.StatusNoContent, resp.StatusCode)
}

// host returns the host with the name.
func (f *fleet) host(name string) platform.Host {
	for _, h := range f.hosts {
		if h.Name == name {
			return h
		}
	}
	require.Fail(f.t, "no host "+name)
	return platform.Host{}
}

func get(url string) ([]byte, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return body.Bytes(), nil
}

// nextPort counts the ports handed out above firstPort. They are below the
// system's ephemeral range, so that no forwarder is assigned a port reserved for
// an entry host.
var nextPort atomic.Int32

const firstPort = 20_000

func freeAddress(t *testing.T) string {
	t.Helper()
	for range 1_000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1))
		l, err := net.Listen("tcp", address)
		if err == nil {
			require.NoError(t, l.Close())
			return address
		}
	}
	require.Fail(t, "no free port")
	return ""
}
