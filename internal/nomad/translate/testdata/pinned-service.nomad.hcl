job "reader" {
  namespace = "green"
  priority  = 75
  group "g" {
    constraint {
      attribute = "${node.datacenter}"
      value     = "a"
    }
    spread {
      attribute = "${node.datacenter}"
      weight    = 100
    }
    task "t" {
      driver = "docker"
      user   = "reader"
      config { image = "reader" }
      kill_signal = "SIGTERM"
      meta {
        aspenstall_class    = "web"
        aspenstall_image_gb = "1"
      }
      resources { cores = 2 }
    }
  }
}
