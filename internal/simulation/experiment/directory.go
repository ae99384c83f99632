package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
)

// Permissions of what is written.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// index is the page that shows the tables and every plot.
var index = template.Must(template.New("index").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Scheduling policies</title>
<h1>Scheduling policies</h1>
<p>Medians over the seeds, 95% bootstrap intervals in brackets. Ratios are against the best baseline,
paired by seed; below 1 is better. Every run is in <a href="rows.csv">rows.csv</a> and
<a href="report.json">report.json</a>.</p>
<pre>{{.Table}}</pre>
{{range .Figures}}<h2>{{.Title}}</h2><img src="{{.File}}" alt="{{.Title}}">
{{end}}</html>
`))

// WriteDirectory writes rows.csv, report.json, report.txt, the plots as PNG and
// index.html into a directory. The error is a *ReportUnwritable or *PlotFailed.
func (r Report) WriteDirectory(directory string) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return &ReportUnwritable{Path: directory, Cause: err}
	}
	drawn, err := figures(r.Summaries)
	if err != nil {
		return err
	}
	for _, each := range drawn {
		if err := each.plot.Save(plotWidth, plotHeight, filepath.Join(directory, each.file)); err != nil {
			return &PlotFailed{Cause: err}
		}
	}
	return r.writeFiles(directory, drawn)
}

func (r Report) writeFiles(directory string, drawn []figure) error {
	var rows, report, table, page bytes.Buffer
	if err := r.WriteCSV(&rows); err != nil {
		return &ReportUnwritable{Path: directory, Cause: err}
	}
	if err := r.WriteJSON(&report); err != nil {
		return &ReportUnwritable{Path: directory, Cause: err}
	}
	if err := r.WriteText(&table); err != nil {
		return &ReportUnwritable{Path: directory, Cause: err}
	}
	if err := index.Execute(&page, newIndexPage(table.String(), drawn)); err != nil {
		return &ReportUnwritable{Path: directory, Cause: err}
	}
	files := map[string][]byte{
		"rows.csv": rows.Bytes(), "report.json": report.Bytes(), "report.txt": table.Bytes(), "index.html": page.Bytes(),
	}
	for name, content := range files {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, content, fileMode); err != nil {
			return &ReportUnwritable{Path: path, Cause: err}
		}
	}
	return nil
}

// indexPage is what the index shows.
type indexPage struct {
	Table   string
	Figures []indexFigure
}

type indexFigure struct{ File, Title string }

func newIndexPage(table string, drawn []figure) indexPage {
	page := indexPage{Table: table}
	for _, each := range drawn {
		page.Figures = append(page.Figures, indexFigure{File: each.file, Title: each.title})
	}
	return page
}

// ReportUnwritable reports a file or directory that could not be written.
type ReportUnwritable struct {
	Path  string
	Cause error
}

func (e *ReportUnwritable) Error() string { return fmt.Sprintf("report %s: %v", e.Path, e.Cause) }

// Unwrap returns the operating system's error.
func (e *ReportUnwritable) Unwrap() error { return e.Cause }
