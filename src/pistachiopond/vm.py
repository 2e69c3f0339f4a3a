"""The program ``pond-vm``."""

from _pistachiopond.vm.program import main

if __name__ == "__main__":
    main()
