package controller

import (
	"math"

	"claybarrow/internal/clusterstate"
)

// warnOfSlowFetch tells operators once of a class whose images take longer to fetch than its tasks may
// wait. The settings alone don't tell: the sizes come with the jobs, the rates from the cloud.
func (f *demandForecast) warnOfSlowFetch(j *clusterstate.Job) {
	class, aim := j.Spec.Class, f.views.waitObjective(j.Spec.Class)
	if aim <= 0 || f.catalog.warnedOfFetch[class] {
		return
	}
	fetch := f.catalog.shortestFetchS(j)
	if fetch <= aim {
		return
	}
	f.catalog.warnedOfFetch[class] = true
	f.env.log.Warn("settings: cluster.objectives: within_s is shorter than the image fetch: tasks start in time only where the image is cached",
		"class", class, "within_s", aim, "fetch_s", math.Round(fetch*10)/10, "image_gb", j.Spec.ImageGB)
}

// shortestFetchS is how long a job's image takes on the type that fetches fastest, of those that the
// job may use, in seconds; 0 if nothing is known of them.
func (m *machineCatalog) shortestFetchS(j *clusterstate.Job) float64 {
	fastest := 0.0
	for _, t := range m.types {
		if j.Types == nil || j.Types[t.Name] {
			fastest = max(fastest, t.FetchGBPerS)
		}
	}
	if fastest <= 0 {
		return 0
	}
	return j.Spec.ImageGB / fastest
}
