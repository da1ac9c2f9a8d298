# Groups made of a variable.
variable "members" {
  type    = map(number)
  default = { north = 2, south = 3 }
}
locals {
  image = "basin-${length(var.members)}"
}
job "basins" {
  namespace = "blue"
  type      = "batch"
  dynamic "group" {
    for_each = var.members
    iterator = basin
    labels   = [basin.key]
    content {
      count = basin.value
      task "run" {
        driver = "docker"
        config {
          image = local.image
          args  = [for s in ["in", "out"] : upper("${basin.key}-${s}")]
        }
        env {
          NOTE = <<-EOT
            basin ${basin.key}
            of ${length(var.members)}
          EOT
        }
        meta {
          aspenstall_class    = "sweep"
          aspenstall_image_gb = "1"
          aspenstall_expect_s = basin.value > 2 ? "30" : "20"
        }
      }
    }
  }
}
