# The public charts: always on, in several zones.
job "charts/public" {
  namespace   = "green"
  datacenters = ["a", "b", "c"]
  priority    = 95
  update { max_parallel = 0 }
  spread { attribute = "${node.datacenter}" }
  group "server" {
    count = 3
    task "charts" {
      driver = "docker"
      config {
        image = "charts"
        args  = ["--port", "${NOMAD_PORT_http}"]
      }
      meta = {
        aspenstall_class    = "web"
        aspenstall_image_gb = 0.7
      }
      resources {
        cpu    = 2000
        memory = 3482
      }
    }
  }
}
