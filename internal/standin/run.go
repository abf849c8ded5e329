package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// Run runs one stand-in, or one request to a stand-in, as args say, and returns the exit
// code. A stand-in prints listening=ADDRESS to output and runs until SIGTERM or an
// interrupt.
func Run(args []string, output, errOutput io.Writer) int {
	if err := run(args, output); err != nil {
		fmt.Fprintln(errOutput, "lbstub:", err)
		return 1
	}
	return 0
}

func run(args []string, output io.Writer) error {
	if len(args) == 0 {
		return errors.New("no stand-in given; allowed: platform, engine, service; or ask URL [BODY]")
	}
	if args[0] == "ask" {
		return ask(args[1:], output)
	}
	var instance storer.Instance
	var platform string
	set := flag.NewFlagSet("lbstub "+args[0], flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:0", "`address` to serve")
	loadTime := set.Duration("load-time", time.Second, "time to load a model")
	tokenTime := set.Duration("token-time", 20*time.Millisecond, "time for one token")
	set.StringVar(&instance.Name, "name", "", "instance `name`")
	set.StringVar(&platform, "platform", "", "`URL` of the platform to register with")
	set.StringVar(&instance.DataCentre, "data-centre", "", "data centre of the instance")
	set.StringVar(&instance.Domain, "domain", "", "fabric domain of the instance")
	set.BoolVar(&instance.ChecksFencing, "checks-fencing", true, "refuse orders of an older generation")
	if err := set.Parse(args[1:]); err != nil {
		return err
	}
	instance.Kind = args[0]
	h, err := newHandler(instance, *loadTime, *tokenTime)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "listening=%s\n", l.Addr())
	instance.Address = l.Addr().String()
	if platform != "" {
		if err := register(platform, instance); err != nil {
			return err
		}
	}
	return serve(l, h)
}

func newHandler(instance storer.Instance, loadTime, tokenTime time.Duration) (http.Handler, error) {
	switch instance.Kind {
	case "platform":
		return NewPlatform(), nil
	case "engine":
		return NewEngine(EngineOptions{
			Name: instance.Name, ChecksFencing: instance.ChecksFencing, LoadTime: loadTime, TokenTime: tokenTime, Network: networker.System{},
		}), nil
	case "service":
		return &Service{}, nil
	default:
		return nil, fmt.Errorf("no stand-in %q; allowed: platform, engine, service", instance.Kind)
	}
}

func register(platform string, instance storer.Instance) error {
	body, err := json.Marshal(instance)
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

// ask gets a URL of a stand-in, or posts a JSON body to it, and prints the response. It
// returns an error if the status is not 200.
func ask(args []string, output io.Writer) error {
	var res *http.Response
	var err error
	switch len(args) {
	case 1:
		res, err = http.Get(args[0])
	case 2:
		res, err = http.Post(args[0], "application/json", bytes.NewReader([]byte(args[1])))
	default:
		return errors.New("usage: lbstub ask URL [BODY]")
	}
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err = io.Copy(output, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("ask %s: status %d", args[0], res.StatusCode)
	}
	return nil
}
