package api

import (
	"bytes"
	"context"
	"html/template"
	"net/http"

	"marblehaven/internal/leader"
	"marblehaven/internal/tuning"
)

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>marblehaven</title>
<meta http-equiv="refresh" content="10">
<style>body{font-family:sans-serif;margin:2em;max-width:50em}table{border-collapse:collapse}
td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ccc}.bad{color:#a00}</style></head><body>
{{if not .HasSummary}}<h1 class="bad">The leader cannot be asked just now</h1>
{{else if .Summary.Overdue}}<h1 class="bad">Player-facing work is behind</h1>
<table><tr><th>job</th><th>kind</th><th>copies missing</th><th>for</th></tr>
{{range .Summary.Overdue}}<tr><td>{{.Job}}</td><td>{{.Class}}</td><td>{{.Missing}}</td><td>{{printf "%.0f" .SinceS}} s</td></tr>
{{end}}</table>
{{else}}<h1>All player-facing work is running</h1>{{end}}
<p>This is {{.Name}}. {{if .Leader}}{{.Leader}} leads.{{else}}Nobody is known to lead.{{end}}
The state service {{if .StoreReachable}}answers{{else}}<b class="bad">does not answer</b>{{end}}.
{{if .HasSummary}}The cloud {{if .Summary.CloudOK}}answers{{else}}<b class="bad">does not answer</b>{{end}}.{{end}}</p>
{{if .HasSummary}}<h2>Jobs</h2><table><tr><th>kind</th><th>waiting</th><th>waiting for other jobs</th><th>running</th><th>late</th></tr>
{{range .Summary.Classes}}<tr><td>{{.Class}}</td><td>{{.Waiting}}</td><td>{{.Blocked}}</td><td>{{.Running}}</td><td>{{.Late}}</td></tr>
{{end}}</table>
<h2>Machines</h2><table><tr><th>type</th><th>up</th><th>starting or silent</th></tr>
{{range .Summary.Machines}}<tr><td>{{.Type}}{{if .Spot}} (cheap){{end}}</td><td>{{.Up}}</td><td>{{.Other}}</td></tr>
{{end}}</table>
{{if .Summary.UnknownTasks}}<h2 class="bad">{{.Summary.UnknownTasks}} tasks on machines that no record names; they are being stopped</h2>
<table><tr><th>task</th><th>try</th><th>state</th><th>machine</th><th>its job</th></tr>
{{range .Summary.Unknown}}<tr><td>{{.Task}}</td><td>{{.Attempt}}</td><td>{{.State}}</td><td>{{.Machine}}</td><td>{{.Job}}</td></tr>
{{end}}</table>{{end}}
<h2>Versions</h2><p>The cluster uses format version {{.Summary.Format}} of its records.</p>
<table><tr><th>controller</th><th>reads version</th></tr>
{{range .Summary.Versions}}<tr><td>{{.Node}}</td><td>{{.Format}}</td></tr>
{{end}}</table>{{end}}
</body></html>
`))

// statusPage is the data that pageTemplate renders.
type statusPage struct {
	Name           string // this controller
	Leader         string // empty if none is known
	StoreReachable bool
	HasSummary     bool // whether the leader has answered
	Summary        leader.Status
}

// serveStatusPage serves the HTML page on which operators see the state of the cluster.
func (s *Server) serveStatusPage(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.PeerTimeout)
	defer cancel()
	page := statusPage{Name: s.name, StoreReachable: s.node.StoreReachable()}
	if current, ok := s.node.KnownLeader(); ok {
		page.Leader = current.Node
	}
	page.Summary, page.HasSummary = s.node.Summary(ctx)
	var html bytes.Buffer
	if err := pageTemplate.Execute(&html, page); err != nil {
		s.log.Error("status page cannot be rendered, the request is answered with 500", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Write(html.Bytes())
}
