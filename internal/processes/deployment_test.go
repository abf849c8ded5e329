package processes_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
)

const (
	_operatorToken = "operator-token"
	_callerKey     = "caller-key"
)

// deployment is a platform, with the processes that use it and their addresses.
type deployment struct {
	t        *testing.T
	platform string // URL
	// addresses holds where stand-ins and entries listen for requests, and
	// operatorAddresses where daemons listen for operators, both by name.
	addresses,
	operatorAddresses map[string]string
	metricsAddresses sync.Map // by process, the address of its health and metrics pages
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, addresses: make(map[string]string), operatorAddresses: make(map[string]string)}
	p := start(t, "stub", "platform", "platform", "-listen", "127.0.0.1:0")
	d.addresses["platform"] = p.await(`listening=(\S+)`)
	d.platform = "http://" + d.addresses["platform"]
	return d
}

// startStub starts a stand-in for an engine or a service.
func (d *deployment) startStub(kind, name, domain string, args ...string) *process {
	d.t.Helper()
	p := start(d.t, "stub", name, append([]string{
		kind, "-listen", "127.0.0.1:0", "-name", name, "-platform", d.platform,
		"-data-centre", "qld-bne", "-domain", domain, "-load-time", "200ms",
	}, args...)...)
	d.addresses[name] = p.await(`listening=(\S+)`)
	return p
}

// startDaemon starts an entry or a placer. A restarted entry keeps its address for callers.
func (d *deployment) startDaemon(program, name string) *process {
	d.t.Helper()
	args := []string{
		"-name", name, "-data-centre", "qld-bne", "-platform", d.platform, "-peer-secret", "0123456789abcdef0123",
		"-peer-listen", "127.0.0.1:0", "-operator-listen", "127.0.0.1:0",
		"-operator-tokens", "ann:" + authenticator.Digest(_operatorToken),
	}
	if program == "entry" {
		listen := d.addresses[name]
		if listen == "" {
			listen = "127.0.0.1:0"
		}
		args = append(args, "-callers-listen", listen)
	}
	p := start(d.t, program, name, args...)
	d.metricsAddresses.Store(name, p.await(`address="?([0-9.:]+)"? event=listen .*service=metrics`))
	d.operatorAddresses[name] = p.await(`address="?([0-9.:]+)"? event=listen .*service=operator`)
	if program == "entry" && d.addresses[name] == "" {
		d.addresses[name] = p.await(`address="?([0-9.:]+)"? event=listen .*service=callers`)
	}
	return p
}

// patch sends a configuration to each entry and waits until the entry has applied it.
func (d *deployment) patch(document string, entries ...string) {
	d.t.Helper()
	for _, e := range entries {
		c := lycheebarrow.Client{Address: d.operatorAddresses[e], Token: _operatorToken}
		await(d.t, "the configuration at "+e, func() bool {
			_, err := c.Patch(context.Background(), lycheebarrow.Patch{
				ID: "first", Base: 0, Author: "ann", Reason: "test", Merge: json.RawMessage(document),
			})
			return err == nil
		})
		await(d.t, "the configuration at "+e, func() bool {
			res, err := d.sendRequest(e, http.MethodGet, "/v1/models", "", "")
			if err != nil {
				return false
			}
			res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
	}
}

// setFaults sets the faults of a stand-in.
func (d *deployment) setFaults(name, faults string) {
	d.t.Helper()
	res, err := http.Post("http://"+d.addresses[name]+"/fault", "application/json", strings.NewReader(faults))
	require.NoError(d.t, err)
	res.Body.Close()
}

// runCount returns how often a service ran the call with an idempotency key.
func (d *deployment) runCount(service, key string) int {
	d.t.Helper()
	res, err := http.Get("http://" + d.addresses[service] + "/runs")
	require.NoError(d.t, err)
	defer res.Body.Close()
	var counts map[string]int
	require.NoError(d.t, json.NewDecoder(res.Body).Decode(&counts))
	return counts[key]
}

// servingReplicas returns the members of each serving replica that the entry knows, by name.
func (d *deployment) servingReplicas(entry string) map[string][]string {
	c := lycheebarrow.Client{Address: d.operatorAddresses[entry], Token: _operatorToken}
	text, err := c.Read(context.Background(), "placements")
	out := make(map[string][]string)
	if err != nil {
		return out
	}
	collectServing(text, out)
	return out
}

// collectServing adds every serving replica found at any depth of a JSON text to into.
func collectServing(text []byte, into map[string][]string) {
	var r struct {
		Name    string
		Members []string
		State   string
	}
	if json.Unmarshal(text, &r) == nil && r.State == "REPLICA_STATE_SERVING" {
		into[r.Name] = r.Members
		return
	}
	var list []json.RawMessage
	var object map[string]json.RawMessage
	_ = json.Unmarshal(text, &list)
	_ = json.Unmarshal(text, &object)
	for _, v := range object {
		list = append(list, v)
	}
	for _, v := range list {
		collectServing(v, into)
	}
}

// configuration returns a configuration document with one organisation, a group of
// replicas with two members each, and a service with those of the upstreams s1 and s2
// that have been started.
func (d *deployment) configuration(replicas int) string {
	var upstreams []string
	for _, n := range []string{"s1", "s2"} {
		if a := d.addresses[n]; a != "" {
			upstreams = append(upstreams, fmt.Sprintf(`%q:{"address":%q,"data_centre":"qld-bne"}`, n, a))
		}
	}
	services := "{}"
	if len(upstreams) > 0 {
		services = fmt.Sprintf(`{"lodgement":{"unrepeatable":true,"timeout_ms":4000,"upstreams":{%s}}}`, strings.Join(upstreams, ","))
	}
	groups := "{}"
	if replicas > 0 {
		groups = fmt.Sprintf(`{"forms":{"model":"form-assistant","version":"v1","data_centre":"qld-bne","replicas":%d,"members":2}}`, replicas)
	}
	return fmt.Sprintf(`{"organisations":{"acme":{"keys_sha256":[%q]}},"groups":%s,"services":%s}`,
		authenticator.Digest(_callerKey), groups, services)
}
