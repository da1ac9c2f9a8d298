# Any of several types, of which another constraint leaves one; preferences are ignored.
job "types" {
  namespace = "blue"
  type      = "batch"
  constraint {
    attribute        = "${node.class}"
    set_contains_any = "g16, s4"
  }
  affinity {
    attribute = "${node.class}"
    value     = "g16"
    weight    = 80
  }
  group "any" {
    count = 4
    task "t" {
      driver = "docker"
      config { image = "any" }
      meta {
        aspenstall_class    = "sweep"
        aspenstall_image_gb = "1"
        aspenstall_expect_s = "20"
      }
      resources { cores = 1 }
    }
  }
  group "small" {
    count = 2
    constraint {
      attribute = "${node.class}"
      operator  = "="
      value     = "s4"
    }
    task "t" {
      driver = "docker"
      config { image = "any" }
      meta {
        aspenstall_class    = "sweep"
        aspenstall_image_gb = "1"
        aspenstall_expect_s = "20"
      }
      resources { cores = 1 }
    }
  }
}
