package router

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/burn"
	"github.com/hornbeamstage/hornbeamstage/catalog"
	"github.com/hornbeamstage/hornbeamstage/meter"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// Status is the response of /status: the state of an instance and the fleet as it
// sees it.
type Status struct {
	Instance hbs.InstanceID `json:"instance"`
	Domain   hbs.DomainName `json:"domain"`
	At       time.Time      `json:"at"`
	Ready    bool           `json:"ready"`
	Stopping bool           `json:"stopping"`
	// Revision is the revision of the configuration in force; 0 for the fallback
	// configuration file (setting configuration.floor).
	Revision hbs.Revision `json:"revision"`
	// Configuration summarizes the stored configuration items. It is equal on
	// instances that store the same items.
	Configuration mirror.Summary `json:"configuration"`
	Instances     []hbs.Instance `json:"instances"`
	Endpoints     []hbs.Endpoint `json:"endpoints"`
}

// operatorRoutes returns the handler of the operators' listener.
func (r *Router) operatorRoutes(c *components) http.Handler {
	m := httprouter.New()
	m.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeProbe(w, true, "ok")
	})
	m.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		ready, reason := r.ready(c)
		writeProbe(w, ready, reason)
	})
	m.GET("/status", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		r.writeStatus(w, c)
	})
	m.GET("/burn", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		r.writeBurn(w, req, c)
	})
	m.Handler(http.MethodGet, "/metrics", &meter.Exposition{Registry: r.Metrics, Meters: catalog.Meters()})
	return m
}

// ready reports whether callers' requests should be sent to the instance, and the
// response text of the readiness probe. Without a configuration the instance would
// reject every key.
func (r *Router) ready(c *components) (ok bool, reason string) {
	switch {
	case r.stopping():
		return false, "stopping"
	case len(c.config.Config().Workspaces) == 0:
		return false, "no configuration"
	}
	return true, "ready"
}

// writeProbe writes the response of a health or readiness probe.
func writeProbe(w http.ResponseWriter, ok bool, reason string) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// A write fails only if the client has disconnected.
	_, _ = w.Write([]byte(reason + "\n"))
}

func (r *Router) writeStatus(w http.ResponseWriter, c *components) {
	ready, _ := r.ready(c)
	roster := c.directory.Roster()
	writeJSON(w, Status{
		Instance:      r.Settings.Instance.ID,
		Domain:        r.Settings.Instance.Domain,
		At:            time.Now(),
		Ready:         ready,
		Stopping:      r.stopping(),
		Revision:      c.config.Revision(),
		Configuration: c.objects.Summary(hbs.ObjectConfiguration),
		Instances:     roster.Instances,
		Endpoints:     roster.Endpoints,
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// A write fails only if the client has disconnected.
	_ = e.Encode(v)
}

// burnContentTypes has the content type of each format of /burn?format=.
var burnContentTypes = map[burn.Format]string{
	burn.FormatJSON: "application/json",
	burn.FormatText: "text/plain; charset=utf-8",
	burn.FormatSVG:  "image/svg+xml",
}

func (r *Router) writeBurn(w http.ResponseWriter, req *http.Request, c *components) {
	format := burn.Format(req.URL.Query().Get("format"))
	if format == "" {
		format = burn.FormatJSON
	}
	contentType, ok := burnContentTypes[format]
	if !ok {
		http.Error(w, "format is json, text or svg", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", contentType)
	if err := c.tracker.Report().Write(w, format); err != nil {
		r.Log.Debug("failed to write burn report", zap.Error(err))
	}
}
