package controller

import (
	"math"

	"claybarrow/internal/clusterstate"
)

// warnOfSlowFetch warns the operators, once a class and process, that the images of a class take longer to fetch than
// its wait objective. The settings alone don't show that: the sizes come with the jobs, the rates from the cloud.
func (f *demandForecast) warnOfSlowFetch(j *clusterstate.Job) {
	class, objective := j.Spec.Class, f.views.waitObjective(j.Spec.Class)
	if objective <= 0 || f.catalog.warnedOfFetch[class] {
		return
	}
	fetchS := f.catalog.shortestFetchS(j)
	if fetchS <= objective {
		return
	}
	f.catalog.warnedOfFetch[class] = true
	f.env.log.Warn("settings: cluster.objectives: within_s is shorter than the image fetch: tasks start in time only where the image is cached",
		"class", class, "within_s", objective, "fetch_s", math.Round(fetchS*10)/10, "image_gb", j.Spec.ImageGB)
}

// shortestFetchS is how long a job's image takes to fetch, in seconds, on the fastest of the types that the job may
// use; 0 if the rates of these are not known.
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
