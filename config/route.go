package config

import (
	"net/http"
	"path"
	"strings"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// anyMethod is the method of a route that matches all methods.
const anyMethod = "*"

// Class returns the class of a request. If no route matches, the safe methods of
// HTTP are repeatable and all others run once, because sending a request twice to
// a path without a route could repeat its side effects.
func (s *Service) Class(method, urlPath string) hbs.RouteClass {
	for _, r := range s.Routes {
		if r.matches(method, urlPath) {
			return r.Class
		}
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return hbs.ClassRepeatable
	}
	return hbs.ClassOnce
}

func (r *Route) matches(method, urlPath string) bool {
	if r.Method != anyMethod && r.Method != method {
		return false
	}
	if below, ok := strings.CutSuffix(r.Path, "/**"); ok {
		return urlPath == below || strings.HasPrefix(urlPath, below+"/")
	}
	ok, err := path.Match(r.Path, urlPath)
	return ok && err == nil
}
