package stand

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Proxy is a process of the project's proxy.
type Proxy struct {
	Name, Addr string
	record     *Record
	command    *exec.Cmd
	ended      chan struct{}
}

// Settings returns the settings object of the project's example configuration, which has the names
// and the figures of a small deployment.
func Settings() (map[string]any, error) {
	text, err := os.ReadFile("example/config.json")
	if err != nil {
		return nil, err
	}
	var c struct{ Settings map[string]any }
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, err
	}
	return c.Settings, nil
}

// Set sets a value inside a settings object, by the names on the way to it.
func Set(settings map[string]any, value any, path ...string) {
	for _, name := range path[:len(path)-1] {
		next, ok := settings[name].(map[string]any)
		if !ok {
			next = make(map[string]any)
			settings[name] = next
		}
		settings = next
	}
	settings[path[len(path)-1]] = value
}

// FreeAddr returns a loopback address at which nobody listens.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// StartProxy starts a proxy by the command of the deploy file and waits until it answers PONG. dir
// is a temporary folder.
func StartProxy(r *Record, dir, name, discovery string, known json.RawMessage, settings map[string]any) (*Proxy, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml: no run")
	}
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": addr, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings,
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	p := &Proxy{Name: name, Addr: addr, record: r, ended: make(chan struct{})}
	p.command = exec.Command("/bin/sh", "-c", string(run[1]))
	p.command.Env = append(os.Environ(), "EDGE_NAME="+name, "EDGE_LISTEN="+addr, "EDGE_DISCOVERY="+discovery, "EDGE_CONFIG="+path)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := p.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	r.Printf("proxy %s: started as process %d at %s", name, p.command.Process.Pid, addr)
	go func() {
		for in := bufio.NewScanner(log); in.Scan(); {
			r.Printf("proxy %s: log: %s", name, in.Text())
		}
		err := p.command.Wait()
		r.Printf("proxy %s: ended: %v", name, err)
		close(p.ended)
	}()
	for range 100 {
		if p.ping() {
			return p, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.Kill()
	return nil, fmt.Errorf("proxy %s: not ready within 5 s", name)
}

func (p *Proxy) ping() bool {
	c, err := net.DialTimeout("tcp", p.Addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "PING\r\n")
	text, _ := bufio.NewReader(c).ReadString('\n')
	return strings.HasPrefix(text, "PONG")
}

// Signal sends a signal to the process.
func (p *Proxy) Signal(s syscall.Signal) {
	p.record.Printf("proxy %s: gets %v", p.Name, s)
	_ = p.command.Process.Signal(s)
}

// Running reports whether the process has not ended.
func (p *Proxy) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process and waits for its end.
func (p *Proxy) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}
