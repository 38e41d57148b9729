package stand2

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Fleet returns started proxies of one fleet that are all keepers and may all own the duty of asking discovery.
// more is added to each operators' file. discovery returns the address of discovery for a proxy. Fleet waits until each is ready.
func (w *World) Fleet(n int, settings, known any, more string, discovery func(i int) (string, error)) ([]*Proxy, error) {
	var at, members []string
	for i := range n {
		addr, err := FreeUDP()
		if err != nil {
			return nil, err
		}
		at, members = append(at, addr), append(members, fmt.Sprintf("%d@%s", i+1, addr))
	}
	var all []*Proxy
	for i := range n {
		address, err := discovery(i)
		if err != nil {
			return nil, err
		}
		operator := fmt.Sprintf("[fleet]\ncluster = review\nlisten = %s\nseeds = %s\n[keepers]\nmembers = %s\ndir = %s/keeper-%d\n[duties]\ntake = discovery\n",
			at[i], strings.Join(at, ", "), strings.Join(members, ", "), w.Dir, i+1) + more
		if alone() {
			operator = ""
		}
		p, err := w.NewProxy(ProxyConfig{Name: fmt.Sprintf("n%d", i+1), Discovery: address, Settings: settings, Known: known, Operator: operator})
		if err != nil {
			return nil, err
		}
		if operator != "" {
			if err := p.KeepersInit(); err != nil {
				return nil, err
			}
		}
		all = append(all, p)
	}
	for _, p := range all {
		if err := p.Start(); err != nil {
			return nil, err
		}
	}
	for _, p := range all {
		if err := p.WaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// alone reports whether the proxies are to share nothing, to compare: FLEET=0.
func alone() bool { return os.Getenv("FLEET") == "0" }

// AwaitOwner waits until a proxy says in its log that it has the duty of asking discovery.
func (w *World) AwaitOwner(all []*Proxy, within time.Duration) error {
	if alone() {
		return nil
	}
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(200 * time.Millisecond) {
		for _, p := range all {
			if strings.Contains(p.Log(), "fleet: own") {
				w.Record.Logf("%s has the duty of asking discovery", p.Name)
				return nil
			}
		}
	}
	return fmt.Errorf("nobody owns the duty: %s", all[0].Log())
}
