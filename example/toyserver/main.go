// Command toyserver plays what a proxy needs around it, for a first try on one machine: a few egress targets
// that echo every line, and the discovery that names them. It is no measure of anything.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"time"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:18500", "address of the discovery")
	targets := flag.String("targets", "127.0.0.1:18443,127.0.0.1:18444", "addresses of the egress targets")
	flag.Parse()
	var hosts []string
	for i, addr := range strings.Split(*targets, ",") {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			log.Fatal(err)
		}
		go serve(l, fmt.Sprintf("toy-%d", i))
		hosts = append(hosts, fmt.Sprintf(
			`{"host":"toy-%d","dial":%q,"site":"here","class":"toy","block":0,"health":"SERVING","share":1,"born_ms":0}`, i, addr))
	}
	http.HandleFunc("/registry/instances", func(w http.ResponseWriter, r *http.Request) {
		whole := r.FormValue("index") != "1"
		list := ""
		if whole {
			list = strings.Join(hosts, ",")
		} else if ms, err := time.ParseDuration(r.FormValue("wait") + "ms"); err == nil {
			time.Sleep(min(ms, time.Minute)) // nothing ever changes here
		}
		fmt.Fprintf(w, `{"seq":1,"whole":%v,"hosts":[%s]}`, whole, list)
	})
	log.Printf("discovery at %s, egress targets at %s", *discovery, *targets)
	log.Fatal(http.ListenAndServe(*discovery, nil))
}

func serve(l net.Listener, name string) {
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go talk(c, name)
	}
}

// talk answers probes, takes a connection with UP and then echoes its lines until BYE.
func talk(c net.Conn, name string) {
	defer c.Close()
	in, up := bufio.NewScanner(c), false
	for in.Scan() {
		text, reply := in.Text(), ""
		switch {
		case up && text == "BYE":
			fmt.Fprint(c, "BYE\r\n")
			return
		case up:
			reply = name + " echoes " + text
		case text == "PING":
			reply = "PONG"
		case text == "STATS":
			reply = "PONG cpu=0.10,x0=0.10,rps=1"
		case strings.HasPrefix(text, "OPEN "):
			up, reply = true, "UP "+name
		default:
			reply = "SYNTAX"
		}
		if _, err := fmt.Fprint(c, reply+"\r\n"); err != nil {
			return
		}
	}
}
