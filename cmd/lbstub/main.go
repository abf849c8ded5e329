// Command lbstub runs one stand-in for tests and the demo.
//
//	lbstub platform -listen 127.0.0.1:9000
//	lbstub engine   -listen 127.0.0.1:9101 -name e1 -platform http://127.0.0.1:9000 -data-centre qld-bne -domain f1
//	lbstub service  -listen 127.0.0.1:9201 -name s1
//
// POST /fault on the same address switches faults.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lbstub:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		return errors.New("name a stand-in: platform, engine or service")
	}
	set := flag.NewFlagSet("lbstub "+args[0], flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:0", "`address` to serve")
	name := set.String("name", "", "instance `name`")
	platform := set.String("platform", "", "`URL` of the platform to register with")
	dataCentre := set.String("data-centre", "", "data centre of the instance")
	domain := set.String("domain", "", "fabric domain of the instance")
	fencing := set.Bool("checks-fencing", true, "refuse orders with an old fencing number")
	load := set.Duration("load-time", time.Second, "time to load a model")
	token := set.Duration("token-time", 20*time.Millisecond, "time for one token")
	if err := set.Parse(args[1:]); err != nil {
		return err
	}
	var h http.Handler
	switch args[0] {
	case "platform":
		h = standin.NewPlatform()
	case "engine":
		h = standin.NewEngine(standin.EngineOptions{
			Name: *name, ChecksFencing: *fencing, LoadTime: *load, TokenTime: *token, Network: networker.System{},
		})
	case "service":
		h = &standin.Service{}
	default:
		return fmt.Errorf("no stand-in %q; allowed: platform, engine, service", args[0])
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	fmt.Printf("listening=%s\n", l.Addr())
	if *platform != "" {
		row := storer.Instance{
			Name: *name, Address: l.Addr().String(), DataCentre: *dataCentre, Domain: *domain,
			Kind: args[0], ChecksFencing: *fencing,
		}
		if err := register(*platform, row); err != nil {
			return err
		}
	}
	return serve(l, h)
}

func register(platform string, row storer.Instance) error {
	body, err := json.Marshal(row)
	if err != nil {
		return err
	}
	res, err := http.Post(platform+"/instances", "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("register with the platform at %s: %w", platform, err)
	}
	return res.Body.Close()
}

func serve(l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
