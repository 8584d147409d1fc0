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

// Status is what an instance tells operators of itself and its view.
type Status struct {
	Instance hbs.InstanceID `json:"instance"`
	Domain   hbs.DomainName `json:"domain"`
	At       time.Time      `json:"at"`
	Ready    bool           `json:"ready"`
	Stopping bool           `json:"stopping"`
	// Revision is that of the configuration in force; 0 for the floor.
	Revision hbs.Revision `json:"revision"`
	// Configuration tells whether two instances hold the same items.
	Configuration mirror.Summary `json:"configuration"`
	Instances     []hbs.Instance `json:"instances"`
	Endpoints     []hbs.Endpoint `json:"endpoints"`
}

func (r *Router) operatorRoutes(p *parts) http.Handler {
	m := httprouter.New()
	m.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeState(w, true, "ok")
	})
	m.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		ready, why := r.ready(p)
		writeState(w, ready, why)
	})
	m.GET("/status", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		r.writeStatus(w, p)
	})
	m.GET("/burn", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		r.writeBurn(w, req, p)
	})
	m.Handler(http.MethodGet, "/metrics", &meter.Exposition{Registry: r.Metrics, Meters: catalog.Meters()})
	return m
}

// ready tells whether callers should be sent here. An instance without a
// configuration would refuse every key.
func (r *Router) ready(p *parts) (ok bool, why string) {
	switch {
	case r.stopping():
		return false, "stopping"
	case len(p.config.Config().Workspaces) == 0:
		return false, "no configuration"
	}
	return true, "ready"
}

func writeState(w http.ResponseWriter, ok bool, why string) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// An error here means that the reader is gone.
	_, _ = w.Write([]byte(why + "\n"))
}

func (r *Router) writeStatus(w http.ResponseWriter, p *parts) {
	ready, _ := r.ready(p)
	roster := p.directory.Roster()
	writeJSON(w, Status{
		Instance:      r.Settings.Instance.ID,
		Domain:        r.Settings.Instance.Domain,
		At:            time.Now(),
		Ready:         ready,
		Stopping:      r.stopping(),
		Revision:      p.config.Revision(),
		Configuration: p.objects.Summary(hbs.ObjectConfiguration),
		Instances:     roster.Instances,
		Endpoints:     roster.Endpoints,
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// An error here means that the reader is gone.
	_ = e.Encode(v)
}

// burnTypes are the content types of the formats of /burn?format=.
var burnTypes = map[burn.Format]string{
	burn.FormatJSON: "application/json",
	burn.FormatText: "text/plain; charset=utf-8",
	burn.FormatSVG:  "image/svg+xml",
}

func (r *Router) writeBurn(w http.ResponseWriter, req *http.Request, p *parts) {
	format := burn.Format(req.URL.Query().Get("format"))
	if format == "" {
		format = burn.FormatJSON
	}
	contentType, ok := burnTypes[format]
	if !ok {
		http.Error(w, "format is json, text or svg", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", contentType)
	if err := p.tracker.Report().Write(w, format); err != nil {
		r.Log.Debug("burn report not sent", zap.Error(err))
	}
}
