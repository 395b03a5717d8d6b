package emul

import (
	"io"

	"github.com/wcharczuk/go-chart/v2"
)

const (
	plotWidth  = 900
	plotHeight = 520
	// plotLeftPadding reserves space for the legend, plotTopPadding for the title.
	plotLeftPadding = 150
	plotTopPadding  = 50
)

// WriteChart writes an SVG chart of the share of requests served in time over the
// load factor, with one line for each knowledge set.
func WriteChart(w io.Writer, title string, rows []Row) error {
	var series []chart.Series
	for _, k := range KnowledgeSets() {
		line := chart.ContinuousSeries{Name: k.Name}
		for _, r := range rows {
			if r.Knows.Name == k.Name {
				line.XValues = append(line.XValues, r.Load)
				line.YValues = append(line.YValues, 100*r.InTimeShare())
			}
		}
		series = append(series, line)
	}
	graph := chart.Chart{
		Title: title, Width: plotWidth, Height: plotHeight, Series: series,
		Background: chart.Style{Padding: chart.Box{Left: plotLeftPadding, Top: plotTopPadding}},
		XAxis:      chart.XAxis{Name: "load against the site's"}, YAxis: chart.YAxis{Name: "served in time, %"}, YAxisSecondary: chart.HideYAxis(),
	}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	return graph.Render(chart.SVG, w)
}
