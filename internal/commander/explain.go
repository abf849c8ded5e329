package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/explainer"
	"github.com/lycheebarrow/lycheebarrow/internal/operator"
)

func (c *commander) explainCommand(errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "explain", ShortUsage: "lbctl explain REQUEST", FlagSet: newFlagSet("lbctl explain", errOut),
		ShortHelp: "explain what happened to a request; its id is the Lb-Request header of the answer",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("lbctl explain REQUEST")
			}
			return c.explainRequest(ctx, args[0])
		},
	}
}

func (c *commander) explainRequest(ctx context.Context, id string) error {
	page, err := c.findDecisions(ctx, id)
	if err != nil {
		return err
	}
	if len(page.Events) == 0 {
		return fmt.Errorf("no process that answered has a decision on request %s; each keeps only its latest decisions, and older ones are in its log under request=%s", id, id)
	}
	return c.print(page, func(w io.Writer) {
		fmt.Fprintf(w, "Request %s was handled by %s. Times are UTC.\n", id, page.Process)
		for _, line := range explainer.Explain(page.Events) {
			fmt.Fprintln(w, line)
		}
	})
}

// findDecisions reads the decisions about a request from the process at -address.
// If that process has none, it asks the other entries that the process knows, in
// the order of their names, until one has some.
func (c *commander) findDecisions(ctx context.Context, id string) (operator.DecisionPage, error) {
	page, err := readDecisions(ctx, &c.client, id)
	if err != nil || len(page.Events) > 0 {
		return page, err
	}
	list, err := c.readProcesses(ctx)
	var api *lycheebarrow.APIError
	if errors.As(err, &api) {
		return page, nil
	}
	if err != nil {
		return page, err
	}
	for _, p := range list {
		if p.Role != "entry" || p.OperatorAddress == "" || p.Name == page.Process {
			continue
		}
		other := c.client
		other.Address = p.OperatorAddress
		// Skip an entry that can't be reached: a later one may have the decisions.
		if found, err := readDecisions(ctx, &other, id); err == nil && len(found.Events) > 0 {
			return found, nil
		}
	}
	return page, nil
}

// readDecisions reads the decisions that one process keeps about a request. The
// page has no events if it keeps none.
func readDecisions(ctx context.Context, client *lycheebarrow.Client, id string) (operator.DecisionPage, error) {
	var page operator.DecisionPage
	body, err := client.Read(ctx, "decisions?request="+url.QueryEscape(id))
	if err != nil {
		return page, err
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return page, fmt.Errorf("read the decisions: %w", err)
	}
	return page, nil
}
