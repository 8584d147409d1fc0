package console

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/router"
)

type statusCommand struct {
	c *Command
}

// statusReport is the state of the fleet as reported by its instances.
type statusReport struct {
	Instances []instanceRow  `json:"instances"`
	Domains   []domainRow    `json:"domains"`
	Endpoints []hbs.Endpoint `json:"endpoints"`
	// Missing are the instances that did not answer.
	Missing []hbs.InstanceID `json:"missing,omitempty"`
}

type instanceRow struct {
	ID       hbs.InstanceID `json:"id"`
	Domain   hbs.DomainName `json:"domain"`
	Ready    bool           `json:"ready"`
	Stopping bool           `json:"stopping,omitempty"`
	Revision hbs.Revision   `json:"revision"`
	// Known is the number of instances that it knows, Endpoints the number of live
	// endpoints in its list.
	Known     int `json:"known"`
	Endpoints int `json:"endpoints"`
}

// domainRow is the range of configuration revisions in force in a failure domain.
type domainRow struct {
	Domain hbs.DomainName `json:"domain"`
	// Lowest and Highest are equal except for a few seconds after a change, or
	// while an instance is partitioned.
	Lowest  hbs.Revision `json:"lowest"`
	Highest hbs.Revision `json:"highest"`
}

// Execute implements flags.Commander.
func (x *statusCommand) Execute([]string) error {
	instances, err := x.c.instances()
	if err != nil {
		return err
	}
	r := &statusReport{}
	var cause error
	r.Missing, cause = x.c.query(instances, "/status", func(_ hbs.Instance, body []byte) error {
		var s router.Status
		if err := json.Unmarshal(body, &s); err != nil {
			return err
		}
		r.add(&s)
		return nil
	})
	r.sort()
	if err := x.c.print(r); err != nil {
		return err
	}
	return partialError(r.Missing, cause)
}

// add adds the status of one instance. Endpoints is the longest list that an
// instance reported.
func (r *statusReport) add(s *router.Status) {
	row := instanceRow{ID: s.Instance, Domain: s.Domain, Ready: s.Ready, Stopping: s.Stopping, Revision: s.Revision, Known: len(s.Instances)}
	for _, e := range s.Endpoints {
		if e.State == hbs.StateLive {
			row.Endpoints++
		}
	}
	r.Instances = append(r.Instances, row)
	if len(s.Endpoints) > len(r.Endpoints) {
		r.Endpoints = s.Endpoints
	}
	r.addDomain(s)
}

func (r *statusReport) addDomain(s *router.Status) {
	for i := range r.Domains {
		if d := &r.Domains[i]; d.Domain == s.Domain {
			d.Lowest = min(d.Lowest, s.Revision)
			d.Highest = max(d.Highest, s.Revision)
			return
		}
	}
	r.Domains = append(r.Domains, domainRow{s.Domain, s.Revision, s.Revision})
}

func (r *statusReport) sort() {
	slices.SortFunc(r.Instances, func(a, b instanceRow) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(r.Domains, func(a, b domainRow) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
}

func (r *statusReport) writeText(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREADY\tREVISION\tINSTANCES KNOWN\tENDPOINTS LIVE")
	for _, i := range r.Instances {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%d\n", i.ID, i.Domain, i.Ready, i.Revision, i.Known, i.Endpoints)
	}
	for _, id := range r.Missing {
		fmt.Fprintf(w, "%s\tno answer\n", id)
	}
	fmt.Fprintln(w, "\nDOMAIN\tLOWEST REVISION\tHIGHEST REVISION")
	for _, d := range r.Domains {
		fmt.Fprintf(w, "%s\t%d\t%d\n", d.Domain, d.Lowest, d.Highest)
	}
	fmt.Fprintln(w, "\nENDPOINT\tDOMAIN\tSTATE\tSERVES\tWEIGHTS")
	for _, e := range r.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s%s\t%s\n", e.ID, e.Domain, e.State, e.Model, e.Service, e.Weights)
	}
	w.Flush()
}
